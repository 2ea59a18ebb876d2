package ledgearch.election

import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient
import ledgearch.wire.Condition
import kotlin.random.Random

/**
 * Takes part in the election of the leader among the controllers.
 *
 * The leadership record is a single key attached to the lease of its leader. The record's revision is the fencing
 * token, which grows with every claim and every renewal. A node that finds no record writes one, and of several such
 * writers the state service accepts one. Safety does not depend on the lease: agents follow only the highest token, and
 * a new leader waits for their confirmation.
 */
internal class Election(
    node: String,
    instance: Long,
    storeClient: StoreClient,
    private val jobStore: JobStore,
    private val clock: Clock,
    random: Random,
    listener: ElectionListener,
    /** Returns how long this node waits before it claims a free leadership. */
    private val claimDelayMs: () -> Long = { random.nextLong(ElectionTuning.MAX_CLAIM_DELAY_MS) },
) {
    private val lease = NodeLease(storeClient, clock)
    private val leadership = LeadershipState(clock, listener)
    private val writer = LeadershipWriter(node, instance, storeClient, lease, clock)
    private val check = LeadershipCheck(node, instance, storeClient, jobStore, leadership)
    private val claim = LeadershipClaim(node, writer, lease, leadership, check, jobStore, clock, random)
    private val confirmation = LeadershipConfirmation(storeClient, leadership, check, clock)
    private val renewal = TokenRenewal(writer, leadership, check, clock)

    /** Fencing token of this node's leadership, 0 if it is not the leader. */
    val token: Long get() = leadership.token

    /** Latest steady-clock time at which the leadership record was known to be this node's. */
    val confirmedAtMs: Long get() = leadership.confirmedAtMs

    /** Steady-clock time at which this node's last term began. */
    val electedAtMs: Long get() = leadership.electedAtMs

    /** Whether this node is the leader to its own knowledge; its token may already be superseded. */
    val isLeader: Boolean get() = leadership.isLeader

    /** Whether the leadership was confirmed so recently that the leader lease can't have expired since. */
    val hasValidLease: Boolean get() = leadership.hasValidLease

    /** Whether a renewal of [token] is in flight. A transaction with [condition] that is sent now would mostly fail. */
    val isRenewingToken: Boolean get() = leadership.isRenewing

    /** Condition under which a transaction commits only while this node is the leader under [token]. */
    val condition: Condition get() = leadership.condition

    /** Records that a transaction with [condition] under [sentToken], sent at [sentAtMs], has committed. */
    fun recordConfirmation(
        sentAtMs: Long,
        sentToken: Long,
    ) = leadership.recordConfirmation(sentAtMs, sentToken)

    /** Reads the leadership record after a transaction with [condition] under [sentToken] has failed. */
    fun verifyLeadership(sentToken: Long) = check.verify(sentToken)

    /**
     * Called when the leadership record in the job store has changed. A leader stops at a newer record, even during a
     * renewal, before it applies any job accepted under that record: the next leader starts those.
     */
    fun onLeadershipChanged() {
        check.compareWithJobStore()
        claim.postpone(claimDelayMs())
    }

    /** Ends this node's leadership, if it is the leader; [reason] is logged. */
    fun loseLeadership(reason: String) = leadership.lose(reason)

    /**
     * Releases the leadership for a node that can serve; [reason] is logged. If [recordsStepDown], a step-down because
     * of missing heartbeats is recorded for the next leader.
     */
    fun stepDown(
        reason: String,
        recordsStepDown: Boolean = false,
    ) {
        if (!leadership.isLeader) return
        val oldToken = leadership.token
        claim.startCooldown()
        leadership.lose(reason)
        writer.release(oldToken, recordsStepDown = recordsStepDown)
    }

    /**
     * Whether a leader stepped down because of missing heartbeats within [ElectionTuning.RECENT_STEP_DOWN_WINDOW_MS];
     * if they are still missing, another change of leader would not help.
     */
    val hasRecentStepDown: Boolean
        get() {
            val stepDown = jobStore.lastStepDown ?: return false
            return clock.wallMs - stepDown.steppedDownAtMs < ElectionTuning.RECENT_STEP_DOWN_WINDOW_MS
        }

    /** Keeps the lease alive, and confirms or claims the leadership when that is due. */
    fun runDueWork() {
        lease.runDueWork()
        if (!jobStore.isLoaded || !lease.isOpen) return
        if (leadership.isLeader) confirmation.runDueWork() else claim.runDueWork()
    }

    /** Claims the leadership of [leader], whose process seems to have ended, before its lease expires. */
    fun challenge(leader: String) = claim.challenge(leader)

    /** Begins to renew this leader's fencing token, which fences earlier direct commands; see [TokenRenewal.renew]. */
    fun renewToken(isUrgent: Boolean): Boolean = renewal.renew(isUrgent)
}
