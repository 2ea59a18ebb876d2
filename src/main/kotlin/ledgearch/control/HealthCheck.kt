package ledgearch.control

import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient

/** Decides whether the load balancer should send users to this node. */
internal class HealthCheck(
    private val jobStore: JobStore,
    private val storeClient: StoreClient,
    private val clock: Clock,
) {
    /** Steady time at which the leader last reported an outage of the state service. */
    private var leaderOutageReportedAtMs = Long.MIN_VALUE / 2

    /** Records that the leader reports an outage of the state service. */
    fun recordLeaderOutage() {
        leaderOutageReportedAtMs = clock.steadyMs
    }

    /**
     * Returns whether this node is healthy. It is not while the state service replies to other nodes but not to this
     * one, as those serve users better. In a general outage it stays healthy: otherwise all nodes would leave the load
     * balancer and be slow to return. It then still returns final results and tells other users when to retry.
     */
    fun isHealthy(): Boolean {
        if (!jobStore.isLoaded || jobStore.machineTypes.isEmpty()) return false
        return clock.steadyMs - storeClient.lastReplyAtMs < ControlTuning.MAX_STATE_REPLY_AGE_MS ||
            clock.steadyMs - leaderOutageReportedAtMs < ControlTuning.OUTAGE_REPORT_VALID_MS
    }
}
