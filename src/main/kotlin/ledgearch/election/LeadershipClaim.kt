package ledgearch.election

import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Claims the leadership for this node if no leadership record exists, if the record is an earlier process instance's
 * of this node, or if the leader's process seems to have ended.
 */
internal class LeadershipClaim(
    private val node: String,
    private val writer: LeadershipWriter,
    private val lease: NodeLease,
    private val leadership: LeadershipState,
    private val check: LeadershipCheck,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger("ledgearch.election")
    private var isClaiming = false
    private var nextClaimAtMs = 0L
    private var challengedAtMs = Long.MIN_VALUE / 2

    /** Steady-clock time until which this node makes no claim after it stepped down. */
    private var cooldownUntilMs = Long.MIN_VALUE

    /** Delays the next claim by [delayMs]; challenges are not delayed. */
    fun postpone(delayMs: Long) {
        nextClaimAtMs = clock.steadyMs + delayMs
    }

    /** Suspends claims and challenges by this node for [ElectionTuning.STEP_DOWN_COOLDOWN_MS]. */
    fun startCooldown() {
        cooldownUntilMs = clock.steadyMs + ElectionTuning.STEP_DOWN_COOLDOWN_MS
    }

    /** Claims the leadership if it is free or its record is this node's; called while this node is not the leader. */
    fun runDueWork() {
        val isOwnRecord = jobStore.leadership?.node == node
        if (isClaiming || clock.steadyMs < nextClaimAtMs || !(isOwnRecord || jobStore.leadershipRevision == 0L)) return
        if (clock.steadyMs >= cooldownUntilMs) {
            // An own record was left by an earlier process instance or by a claim whose reply was lost.
            claim(jobStore.leadershipRevision)
        } else if (isOwnRecord) {
            nextClaimAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
            writer.release(jobStore.leadershipRevision, recordsStepDown = false)
        }
    }

    /**
     * Claims the leadership of [leader], whose process seems to have ended, without waiting for its lease to expire. If
     * that leader still runs, this is an ordinary, safe change of leader.
     */
    fun challenge(leader: String) {
        if (leadership.isLeader || isClaiming || !lease.isOpen || !jobStore.isLoaded) return
        if (jobStore.leadership?.node != leader || clock.steadyMs < cooldownUntilMs) return
        if (clock.steadyMs - challengedAtMs < ElectionTuning.MIN_CHALLENGE_INTERVAL_MS) return
        challengedAtMs = clock.steadyMs
        val revision = jobStore.leadershipRevision
        log.info("claiming the leadership of a node that refuses connections; token={} node={}", revision, leader)
        claim(revision)
    }

    private fun claim(expectedRevision: Long) {
        isClaiming = true
        val sentAtMs = clock.steadyMs
        writer.write(expectedRevision, renewedToken = 0) { result ->
            isClaiming = false
            when (result) {
                is TransactionResult.Committed -> {
                    if (!check.isSuperseded(result.revision)) leadership.begin(result.revision, sentAtMs)
                }

                TransactionResult.LeaseExpired -> {
                    lease.markExpired()
                }

                is TransactionResult.Conflict,
                TransactionResult.Refused,
                TransactionResult.TooLarge,
                TransactionResult.Unknown,
                -> {
                    val delayMs = random.nextLong(ElectionTuning.MAX_CLAIM_DELAY_MS)
                    nextClaimAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS + delayMs
                }
            }
        }
    }
}
