package ledgearch.leader

import ledgearch.Tuning
import ledgearch.core.GrantRecord
import ledgearch.core.JobStore
import ledgearch.core.Keys
import ledgearch.core.Now
import ledgearch.core.SilenceRecord
import ledgearch.core.decodeRecord
import ledgearch.core.encodeRecord
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.state.TxnResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import org.slf4j.LoggerFactory
import kotlin.random.Random

internal interface ElectionListener {
    /** This node holds the block under [token]. [fresh]: by a new grant, not by a renewed token of its own. */
    fun granted(
        token: Long,
        fresh: Boolean,
    )

    fun lost()
}

/**
 * One key a block, attached to a lease of its leader. The key's stamp is the token: it rises with every grant.
 * Whoever sees the key missing writes it; the state service lets one writer through. Safety never hangs on the
 * lease: workers follow the highest token only, and a new leader waits for their confirmation.
 */
internal class Election(
    private val node: String,
    private val life: Long,
    private val state: StateClient,
    private val jobStore: () -> JobStore,
    private val now: Now,
    private val random: Random,
    private val listener: ElectionListener,
    /** ms that this node waits before it claims a free grant. */
    private val claimDelayMs: () -> Long = { random.nextLong(Tuning.ELECTION_SPREAD_MS) },
) {
    private val log = LoggerFactory.getLogger("ledgearch.leader")
    private var permit = 0L
    private var leaseBusy = false
    private var touchAt = 0L
    private var claiming = false
    private var claimAt = 0L
    private var challengedAt = Long.MIN_VALUE / 2
    private var standBackUntil = Long.MIN_VALUE

    /** The token under which this node holds the block, 0 when it does not. */
    var token = 0L
        private set

    /** The grant was still this node's at this steady ms. */
    var verifiedAt = Long.MIN_VALUE
        private set

    /** Steady ms of the last fresh grant. */
    var grantedAt = 0L
        private set
    private var verifying = false
    private var verifyTryAt = 0L
    private var bumping = false
    private var bumpedAt = Long.MIN_VALUE / 2

    val holding: Boolean get() = token != 0L

    /** The grant was still this node's so lately that its lease can't have run out since. */
    val sure: Boolean get() = holding && now.steady - verifiedAt < Tuning.LEASE_MS
    val condition: Condition get() = Condition(Keys.grant(0), token)

    /** A transaction with [condition] sent at [sentAt] under [under] went through. */
    fun verified(
        sentAt: Long,
        under: Long,
    ) {
        if (under == token && sentAt > verifiedAt) verifiedAt = sentAt
    }

    /** A comparison of the grant held under [under] has failed. */
    fun doubted(under: Long) {
        if (holding && !bumping && token == under) compareGrant()
    }

    /**
     * The job store has news of the grant. A leader stops at a newer grant before it learns of anything that was
     * accepted under it, also while it renews its token: what comes after that grant is the next leader's to start.
     */
    fun grantChanged() {
        compareJobStore()
        claimAt = now.steady + claimDelayMs()
    }

    /** The grant in the job store is the one held, the one that took its place, or this node holds nothing any more. */
    private fun compareJobStore() {
        val b = jobStore()
        if (holding && b.grantStamp > token &&
            !renewed(b.grant, b.grantStamp)
        ) {
            lose("another grant was made: ${b.grant?.node}")
        }
        if (holding && b.grantStamp == 0L && b.revision >= token) lose("the grant's lease ran out")
    }

    fun lose(why: String) {
        if (!holding) return
        log.warn("block 0: grant {} lost: {}", token, why)
        token = 0
        bumping = false
        listener.lost()
    }

    /** Gives the block up so that a node that can serve it takes it. [silent]: since next to no machine is heard. */
    fun giveUp(
        why: String,
        silent: Boolean = false,
    ) {
        if (!holding) return
        val old = token
        standBackUntil = now.steady + Tuning.STAND_BACK_MS
        lose(why)
        withdrawGrant(old, if (silent) listOf(silenceChange()) else emptyList())
    }

    private fun silenceChange(): Change {
        val record = SilenceRecord(node, now.wall)
        return Change(put = Keys.silence(0), v = encodeRecord(SilenceRecord.serializer(), record))
    }

    /** A leader before this one has given the block up of late, and the change of leader did not help. */
    val changedInVain: Boolean get() =
        jobStore().silence.let {
            it != null &&
                now.wall - it.at < Tuning.CHANGED_IN_VAIN_MS
        }

    private fun withdrawGrant(
        stamp: Long,
        told: List<Change> = emptyList(),
    ) {
        state.txn(
            listOf(Condition(Keys.grant(0), stamp)),
            listOf(Change(remove = Keys.grant(0))) + told,
            Lane.VITAL,
        ) { }
    }

    fun drive() {
        driveLease()
        val b = jobStore()
        if (!b.loaded || permit == 0L) return
        if (holding) {
            driveVerify()
            return
        }
        val mine = b.grant?.node == node
        if (claiming || now.steady < claimAt || !(mine || b.grantStamp == 0L)) return
        if (now.steady >= standBackUntil) {
            // Free, or left by an earlier life of this node, or by a claim whose answer was lost.
            claim(b.grantStamp)
        } else if (mine) {
            claimAt = now.steady + Tuning.STATE_RETRY_MS
            withdrawGrant(b.grantStamp)
        }
    }

    /**
     * The leader's process seems to have ended: its grant is taken over without waiting for its lease. Should it
     * live after all, it is deposed like any other; nothing unsafe can come of it.
     */
    fun challenge(leader: String) {
        val b = jobStore()
        if (holding || claiming || permit == 0L || !b.loaded || b.grant?.node != leader) return
        if (now.steady < standBackUntil || now.steady - challengedAt < Tuning.CHALLENGE_MS) return
        challengedAt = now.steady
        log.info("block 0: {} refuses connections; its grant {} is claimed", leader, b.grantStamp)
        claim(b.grantStamp)
    }

    /**
     * [grant], made at [stamp], is this life's own: a renewed token whose transaction was answered too late. It was
     * written over the token held till then, so nobody else had the block in between. A claim of this life that is
     * carried out late says no such thing.
     */
    private fun renewed(
        grant: GrantRecord?,
        stamp: Long,
    ): Boolean {
        if (grant?.node != node || grant.life != life || grant.over != token) return false
        renewedTo(stamp)
        return true
    }

    /** This leader's token is [stamp] from now on; a renewal that is still under way has nothing more to tell. */
    private fun renewedTo(stamp: Long) {
        log.info("block 0: token {} replaces {}", stamp, token)
        token = stamp
        bumping = false
        listener.granted(token, fresh = false)
    }

    /** A new token for the same leader: fences direct commands that were lost on their way. */
    fun bump() {
        if (!holding || bumping || now.steady - bumpedAt < Tuning.BUMP_MS) return
        bumping = true
        bumpedAt = now.steady
        val old = token
        state.txn(listOf(condition), listOf(put(over = old)), Lane.VITAL) { result ->
            if (token != old || !bumping) return@txn
            bumping = false
            when (result) {
                is TxnResult.Ok -> {
                    if (superseded(result.edition)) return@txn lose("another grant was made")
                    renewedTo(result.edition)
                }

                // An earlier try may have been carried out late: the grant itself tells.
                is TxnResult.Conflict -> {
                    compareGrant()
                }

                // Perhaps written: the job store shows it, now or later.
                TxnResult.Unknown, TxnResult.NoLease, TxnResult.Refused, TxnResult.TooLarge -> {
                    compareJobStore()
                }
            }
        }
    }

    /**
     * The key is at another stamp than the token: this leader's own by a renewal that nobody answered for, or
     * another's.
     */
    private fun compareGrant() {
        val old = token
        state.get(Keys.grant(0), Lane.VITAL) { read ->
            if (token != old || !holding) return@get
            when (read) {
                is ReadResult.Found -> {
                    val grant = decodeRecord(GrantRecord.serializer(), read.value.v)
                    if (read.value.stamp != token &&
                        !renewed(grant, read.value.stamp)
                    ) {
                        lose("another grant was made: ${grant?.node}")
                    }
                }

                ReadResult.Absent -> {
                    lose("the grant's lease ran out")
                }

                // The next comparison tells.
                ReadResult.Failed -> {
                    Unit
                }
            }
        }
    }

    /** The watch has already shown what came after the grant made at [edition]. */
    private fun superseded(edition: Long): Boolean {
        val b = jobStore()
        return b.grantStamp > edition || (b.grantStamp == 0L && b.revision > edition)
    }

    private fun put(over: Long = 0) =
        Change(
            put = Keys.grant(0),
            v = encodeRecord(GrantRecord.serializer(), GrantRecord(node, life, over)),
            permit = permit,
        )

    private fun claim(stamp: Long) {
        claiming = true
        val sentAt = now.steady
        state.txn(listOf(Condition(Keys.grant(0), stamp)), listOf(put()), Lane.VITAL) { result ->
            claiming = false
            when (result) {
                is TxnResult.Ok -> {
                    if (superseded(result.edition)) return@txn
                    token = result.edition
                    verifiedAt = sentAt
                    grantedAt = now.steady
                    log.info("block 0: granted to this node under token {}", token)
                    listener.granted(token, fresh = true)
                }

                TxnResult.NoLease -> {
                    permit = 0
                }

                else -> {
                    claimAt = now.steady + Tuning.STATE_RETRY_MS + random.nextLong(Tuning.ELECTION_SPREAD_MS)
                }
            }
        }
    }

    private fun driveLease() {
        if (leaseBusy || now.steady < touchAt) return
        leaseBusy = true
        touchAt = now.steady + Tuning.TOUCH_MS
        if (permit == 0L) {
            state.openLease { new ->
                leaseBusy = false
                permit = new ?: 0
                if (new == null) touchAt = now.steady + Tuning.STATE_RETRY_MS
            }
        } else {
            state.touch(permit) { alive ->
                leaseBusy = false
                if (alive == false) permit = 0
                if (alive != true) touchAt = now.steady + Tuning.STATE_RETRY_MS
            }
        }
    }

    private fun driveVerify() {
        if (verifying || bumping || now.steady - verifiedAt < Tuning.VERIFY_MS || now.steady < verifyTryAt) return
        verifying = true
        verifyTryAt = now.steady + Tuning.STATE_RETRY_MS
        val under = token
        val sentAt = now.steady
        state.txn(listOf(condition), emptyList(), Lane.VITAL) { result ->
            verifying = false
            when (result) {
                is TxnResult.Ok -> verified(sentAt, under)
                is TxnResult.Conflict -> doubted(under)
                else -> Unit
            }
        }
    }
}
