package ledgearch.election

import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient
import ledgearch.wire.Condition
import kotlin.random.Random

/**
 * The election of the leader among the controllers, as seen from this node.
 *
 * The leadership record is one key, attached to the lease of its leader. The record's revision is the fencing token: it
 * rises with every claim and every renewal. Whoever finds no record writes it, and the state service lets one writer
 * through. Safety never depends on the lease: workers follow the highest token only, and a new leader waits for their
 * confirmation.
 */
internal class Election(
    node: String,
    instance: Long,
    state: StoreClient,
    private val jobStore: JobStore,
    private val clock: Clock,
    random: Random,
    listener: ElectionListener,
    /** ms that this node waits before it claims a free leadership. */
    private val claimDelayMs: () -> Long = { random.nextLong(ElectionTuning.ELECTION_SPREAD_MS) },
) {
    private val lease = NodeLease(state, clock)
    private val held = HeldLeadership(clock, listener)
    private val writes = LeadershipWrites(node, instance, state, lease, clock)
    private val check = LeadershipCheck(node, instance, state, jobStore, held)
    private val claim = LeadershipClaim(node, writes, lease, held, check, jobStore, clock, random)
    private val confirmation = LeadershipConfirmation(state, held, check, clock)
    private val renewal = TokenRenewal(writes, held, check, clock)

    /** The fencing token of this node's leadership, 0 when it is not the leader. */
    val token: Long get() = held.token

    /** Steady ms at which the leadership record was still this node's. */
    val confirmedAt: Long get() = held.confirmedAt

    /** Steady ms at which this node's last leadership term began. */
    val electedAt: Long get() = held.electedAt

    /** This node is the leader, as far as it knows: its token may be superseded already. */
    val isLeader: Boolean get() = held.isLeader

    /** The leadership was confirmed so lately that the leader lease can't have run out since. */
    val hasValidLease: Boolean get() = held.hasValidLease

    /** The comparison that lets a transaction through only while this node is the leader under [token]. */
    val condition: Condition get() = held.condition

    /** A transaction with [condition], sent at steady ms [sentAt] under the token [sentUnder], went through. */
    fun leadershipConfirmed(
        sentAt: Long,
        sentUnder: Long,
    ) = held.confirm(sentAt, sentUnder)

    /** A comparison of the leadership under the token [sentUnder] has failed. */
    fun leadershipDoubted(sentUnder: Long) = check.doubted(sentUnder)

    /**
     * The leadership record in the job store has changed. A leader stops at a newer record before it learns of anything
     * that was accepted under it, also while it renews its token: what comes after that record is the next leader's to
     * start.
     */
    fun leadershipChanged() {
        check.compareWithJobStore()
        claim.postpone(claimDelayMs())
    }

    /** Ends this node's leadership, if it is the leader; [reason] is logged. */
    fun loseLeadership(reason: String) = held.lose(reason)

    /**
     * Gives the leadership up so that a node that can serve takes it; [reason] is logged. [silent]: since next to no
     * machine is heard, which is recorded for the next leader.
     */
    fun stepDown(
        reason: String,
        silent: Boolean = false,
    ) {
        if (!held.isLeader) return
        val oldToken = held.token
        claim.standBack()
        held.lose(reason)
        writes.release(oldToken, recordsStepDown = silent)
    }

    /** A leader before this one has stepped down of late, and the change of leader did not help. */
    val steppedDownRecently: Boolean
        get() {
            val stepDown = jobStore.lastStepDown ?: return false
            return clock.wallMs - stepDown.steppedDownAtMs < ElectionTuning.RECENT_STEP_DOWN_MS
        }

    /** Does what is due: keeps the lease alive and confirms or claims the leadership. */
    fun drive() {
        lease.drive()
        if (!jobStore.isLoaded || !lease.isOpen) return
        if (held.isLeader) confirmation.drive() else claim.drive()
    }

    /** The process of [leader] seems to have ended: its leadership is claimed before its lease runs out. */
    fun challenge(leader: String) = claim.challenge(leader)

    /** A new fencing token for the same leader: it fences direct commands that were lost on their way. */
    fun renewToken() = renewal.renew()
}
