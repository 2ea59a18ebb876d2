package ledgearch.election

import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import org.slf4j.LoggerFactory
import kotlin.random.Random

/**
 * Claims the leadership for this node: when no leadership record exists, when one of an earlier process instance of
 * this node is left, and when the leader's process seems to have ended.
 */
internal class LeadershipClaim(
    private val node: String,
    private val writes: LeadershipWrites,
    private val lease: NodeLease,
    private val held: HeldLeadership,
    private val check: LeadershipCheck,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val random: Random,
) {
    private val log = LoggerFactory.getLogger("ledgearch.election")
    private var requestOpen = false
    private var claimAt = 0L
    private var challengedAt = Long.MIN_VALUE / 2

    /** Steady ms until which this node stands back after it stepped down. */
    private var standsBackUntil = Long.MIN_VALUE

    /** Claims nothing for [delayMs], other than by a challenge. */
    fun postpone(delayMs: Long) {
        claimAt = clock.steadyMs + delayMs
    }

    /** This node steps down: it claims nothing for a while, so that a node that can serve takes the leadership. */
    fun standBack() {
        standsBackUntil = clock.steadyMs + ElectionTuning.STEP_DOWN_PAUSE_MS
    }

    /** Claims the leadership if it is free or left behind by this node; called while this node is not the leader. */
    fun drive() {
        val isOwnRecord = jobStore.leadership?.node == node
        if (requestOpen || clock.steadyMs < claimAt || !(isOwnRecord || jobStore.leadershipRevision == 0L)) return
        if (clock.steadyMs >= standsBackUntil) {
            // Free, or left by an earlier process instance of this node, or by a claim whose answer was lost.
            claim(jobStore.leadershipRevision)
        } else if (isOwnRecord) {
            claimAt = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
            writes.release(jobStore.leadershipRevision, recordsStepDown = false)
        }
    }

    /**
     * The process of [leader] seems to have ended: the leadership is claimed without waiting for its lease to run out.
     * Should that leader live after all, it is deposed like any other; nothing unsafe can come of it.
     */
    fun challenge(leader: String) {
        if (held.isLeader || requestOpen || !lease.isOpen || !jobStore.isLoaded) return
        if (jobStore.leadership?.node != leader || clock.steadyMs < standsBackUntil) return
        if (clock.steadyMs - challengedAt < ElectionTuning.CHALLENGE_MS) return
        challengedAt = clock.steadyMs
        val revision = jobStore.leadershipRevision
        log.info("the leader refuses connections and its leadership is claimed; token={} node={}", revision, leader)
        claim(revision)
    }

    private fun claim(expectedRevision: Long) {
        requestOpen = true
        val sentAt = clock.steadyMs
        writes.write(expectedRevision, renews = 0) { result ->
            requestOpen = false
            when (result) {
                is TransactionResult.Committed -> {
                    if (!check.isSuperseded(result.revision)) held.begin(result.revision, sentAt)
                }

                TransactionResult.LeaseExpired -> {
                    lease.expired()
                }

                is TransactionResult.Conflict,
                TransactionResult.Refused,
                TransactionResult.TooLarge,
                TransactionResult.Unknown,
                -> {
                    val spreadMs = random.nextLong(ElectionTuning.ELECTION_SPREAD_MS)
                    claimAt = clock.steadyMs + StoreTuning.RETRY_DELAY_MS + spreadMs
                }
            }
        }
    }
}
