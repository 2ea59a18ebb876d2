package ledgearch.election

import ledgearch.jobs.JobStore
import ledgearch.records.Keys
import ledgearch.records.LeadershipRecord
import ledgearch.records.StepDownRecord
import ledgearch.records.decodeRecord
import ledgearch.records.encodeRecord
import ledgearch.runtime.Clock
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** Told when this node's leadership begins, changes its token or ends. */
internal interface ElectionListener {
    /** This node holds the block under [token]. [newTerm]: by a new grant, not by a renewed token of its own. */
    fun elected(
        token: Long,
        newTerm: Boolean,
    )

    /** This node leads no more. */
    fun lost()
}

/**
 * One key a block, attached to a lease of its leader. The key's stamp is the token: it rises with every grant.
 * Whoever sees the key missing writes it; the state service lets one writer through. Safety never hangs on the
 * lease: workers follow the highest token only, and a new leader waits for their confirmation.
 */
internal class Election(
    private val node: String,
    private val instance: Long,
    private val state: StoreClient,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val random: Random,
    private val listener: ElectionListener,
    /** ms that this node waits before it claims a free grant. */
    private val claimDelayMs: () -> Long = { random.nextLong(ElectionTuning.ELECTION_SPREAD_MS) },
) {
    private val log = LoggerFactory.getLogger("ledgearch.leader")
    private var leaseId = 0L
    private var leaseBusy = false
    private var keepAliveAt = 0L
    private var claiming = false
    private var claimAt = 0L
    private var challengedAt = Long.MIN_VALUE / 2
    private var pausedUntil = Long.MIN_VALUE

    /** The token under which this node holds the block, 0 when it does not. */
    var token = 0L
        private set

    /** The grant was still this node's at this steady ms. */
    var confirmedAt = Long.MIN_VALUE
        private set

    /** Steady ms of the last fresh grant. */
    var electedAt = 0L
        private set
    private var confirming = false
    private var confirmTryAt = 0L
    private var renewingToken = false
    private var tokenRenewedAt = Long.MIN_VALUE / 2

    val isLeader: Boolean get() = token != 0L

    /** The grant was still this node's so lately that its lease can't have run out since. */
    val hasValidLease: Boolean get() = isLeader && clock.steadyMs - confirmedAt < StoreTuning.LEASE_MS
    val condition: Condition get() = Condition(Keys.leadership(0), token)

    /** A transaction with [condition] sent at [sentAt] under [under] went through. */
    fun leadershipConfirmed(
        sentAt: Long,
        under: Long,
    ) {
        if (under == token && sentAt > confirmedAt) confirmedAt = sentAt
    }

    /** A comparison of the grant held under [under] has failed. */
    fun leadershipDoubted(under: Long) {
        if (isLeader && !renewingToken && token == under) compareLeadership()
    }

    /**
     * The job store has news of the grant. A leader stops at a newer grant before it learns of anything that was
     * accepted under it, also while it renews its token: what comes after that grant is the next leader's to start.
     */
    fun leadershipChanged() {
        compareJobStore()
        claimAt = clock.steadyMs + claimDelayMs()
    }

    /** The grant in the job store is the one held, the one that took its place, or this node holds nothing any more. */
    private fun compareJobStore() {
        if (isLeader && jobStore.leadershipRevision > token &&
            !renewed(jobStore.leadership, jobStore.leadershipRevision)
        ) {
            loseLeadership("another grant was made: ${jobStore.leadership?.node}")
        }
        if (isLeader && jobStore.leadershipRevision == 0L &&
            jobStore.revision >= token
        ) {
            loseLeadership("the grant's lease ran out")
        }
    }

    fun loseLeadership(why: String) {
        if (!isLeader) return
        log.warn("block 0: grant {} lost: {}", token, why)
        token = 0
        renewingToken = false
        listener.lost()
    }

    /** Gives the block up so that a node that can serve it takes it. [silent]: since next to no machine is heard. */
    fun stepDown(
        why: String,
        silent: Boolean = false,
    ) {
        if (!isLeader) return
        val old = token
        pausedUntil = clock.steadyMs + ElectionTuning.STEP_DOWN_PAUSE_MS
        loseLeadership(why)
        releaseLeadership(old, if (silent) listOf(stepDownChange()) else emptyList())
    }

    private fun stepDownChange(): Change {
        val record = StepDownRecord(node, clock.wallMs)
        return Change(put = Keys.stepDown(0), value = encodeRecord(StepDownRecord.serializer(), record))
    }

    /** A leader before this one has given the block up of late, and the change of leader did not help. */
    val steppedDownRecently: Boolean get() =
        jobStore.lastStepDown.let {
            it != null &&
                clock.wallMs - it.at < ElectionTuning.RECENT_STEP_DOWN_MS
        }

    private fun releaseLeadership(
        modRevision: Long,
        told: List<Change> = emptyList(),
    ) {
        state.transact(
            listOf(Condition(Keys.leadership(0), modRevision)),
            listOf(Change(remove = Keys.leadership(0))) + told,
            RequestClass.CRITICAL,
        ) { }
    }

    fun drive() {
        driveLease()
        if (!jobStore.loaded || leaseId == 0L) return
        if (isLeader) {
            driveConfirmation()
            return
        }
        val mine = jobStore.leadership?.node == node
        if (claiming || clock.steadyMs < claimAt || !(mine || jobStore.leadershipRevision == 0L)) return
        if (clock.steadyMs >= pausedUntil) {
            // Free, or left by an earlier life of this node, or by a claim whose answer was lost.
            claim(jobStore.leadershipRevision)
        } else if (mine) {
            claimAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
            releaseLeadership(jobStore.leadershipRevision)
        }
    }

    /**
     * The leader's process seems to have ended: its grant is taken over without waiting for its lease. Should it
     * live after all, it is deposed like any other; nothing unsafe can come of it.
     */
    fun challenge(leader: String) {
        if (isLeader || claiming || leaseId == 0L || !jobStore.loaded || jobStore.leadership?.node != leader) return
        if (clock.steadyMs < pausedUntil || clock.steadyMs - challengedAt < ElectionTuning.CHALLENGE_MS) return
        challengedAt = clock.steadyMs
        log.info("block 0: {} refuses connections; its grant {} is claimed", leader, jobStore.leadershipRevision)
        claim(jobStore.leadershipRevision)
    }

    /**
     * [leadership], made at [modRevision], is this life's own: a renewed token whose transaction was answered too late.
     * It was written over the token held till then, so nobody else had the block in between. A claim of this life that
     * is carried out late says no such thing.
     */
    private fun renewed(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ): Boolean {
        if (leadership?.node != node || leadership.instance != instance || leadership.renews != token) return false
        tokenRenewed(modRevision)
        return true
    }

    /** This leader's token is [modRevision] from now on; a renewal that is still under way has nothing more to tell. */
    private fun tokenRenewed(modRevision: Long) {
        log.info("block 0: token {} replaces {}", modRevision, token)
        token = modRevision
        renewingToken = false
        listener.elected(token, newTerm = false)
    }

    /** A new token for the same leader: fences direct commands that were lost on their way. */
    fun renewToken() {
        if (!isLeader || renewingToken || clock.steadyMs - tokenRenewedAt < ElectionTuning.TOKEN_RENEWAL_MS) return
        renewingToken = true
        tokenRenewedAt = clock.steadyMs
        val old = token
        state.transact(listOf(condition), listOf(put(renews = old)), RequestClass.CRITICAL) { result ->
            if (token != old || !renewingToken) return@transact
            renewingToken = false
            when (result) {
                is TransactionResult.Committed -> {
                    if (superseded(result.revision)) return@transact loseLeadership("another grant was made")
                    tokenRenewed(result.revision)
                }

                // An earlier try may have been carried out late: the grant itself tells.
                is TransactionResult.Conflict -> {
                    compareLeadership()
                }

                // Perhaps written: the job store shows it, now or later.
                TransactionResult.Unknown,
                TransactionResult.LeaseExpired,
                TransactionResult.Refused,
                TransactionResult.TooLarge,
                -> {
                    compareJobStore()
                }
            }
        }
    }

    /**
     * The key is at another stamp than the token: this leader's own by a renewal that nobody answered for, or
     * another's.
     */
    private fun compareLeadership() {
        val old = token
        state.get(Keys.leadership(0), RequestClass.CRITICAL) { read ->
            if (token != old || !isLeader) return@get
            when (read) {
                is ReadResult.Found -> {
                    val leadership = decodeRecord(LeadershipRecord.serializer(), read.value.value)
                    if (read.value.modRevision != token &&
                        !renewed(leadership, read.value.modRevision)
                    ) {
                        loseLeadership("another grant was made: ${leadership?.node}")
                    }
                }

                ReadResult.Absent -> {
                    loseLeadership("the grant's lease ran out")
                }

                // The next comparison tells.
                ReadResult.Failed -> {
                    Unit
                }
            }
        }
    }

    /** The watch has already shown what came after the grant made at [revision]. */
    private fun superseded(revision: Long): Boolean =
        jobStore.leadershipRevision > revision || (jobStore.leadershipRevision == 0L && jobStore.revision > revision)

    private fun put(renews: Long = 0) =
        Change(
            put = Keys.leadership(0),
            value = encodeRecord(LeadershipRecord.serializer(), LeadershipRecord(node, instance, renews)),
            leaseId = leaseId,
        )

    private fun claim(modRevision: Long) {
        claiming = true
        val sentAt = clock.steadyMs
        state.transact(
            listOf(Condition(Keys.leadership(0), modRevision)),
            listOf(put()),
            RequestClass.CRITICAL,
        ) { result ->
            claiming = false
            when (result) {
                is TransactionResult.Committed -> {
                    if (superseded(result.revision)) return@transact
                    token = result.revision
                    confirmedAt = sentAt
                    electedAt = clock.steadyMs
                    log.info("block 0: granted to this node under token {}", token)
                    listener.elected(token, newTerm = true)
                }

                TransactionResult.LeaseExpired -> {
                    leaseId = 0
                }

                else -> {
                    claimAt =
                        clock.steadyMs + StoreTuning.STATE_RETRY_MS + random.nextLong(ElectionTuning.ELECTION_SPREAD_MS)
                }
            }
        }
    }

    private fun driveLease() {
        if (leaseBusy || clock.steadyMs < keepAliveAt) return
        leaseBusy = true
        keepAliveAt = clock.steadyMs + ElectionTuning.KEEP_ALIVE_MS
        if (leaseId == 0L) {
            state.openLease { new ->
                leaseBusy = false
                leaseId = new ?: 0
                if (new == null) keepAliveAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
            }
        } else {
            state.keepAlive(leaseId) { alive ->
                leaseBusy = false
                if (alive == false) leaseId = 0
                if (alive != true) keepAliveAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
            }
        }
    }

    private fun driveConfirmation() {
        if (confirming || renewingToken || clock.steadyMs - confirmedAt < ElectionTuning.CONFIRM_LEADERSHIP_MS ||
            clock.steadyMs < confirmTryAt
        ) {
            return
        }
        confirming = true
        confirmTryAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
        val under = token
        val sentAt = clock.steadyMs
        state.transact(listOf(condition), emptyList(), RequestClass.CRITICAL) { result ->
            confirming = false
            when (result) {
                is TransactionResult.Committed -> leadershipConfirmed(sentAt, under)
                is TransactionResult.Conflict -> leadershipDoubted(under)
                else -> Unit
            }
        }
    }
}
