package ledgearch.control

import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient
import org.slf4j.LoggerFactory

/** Decides whether the load balancer should send users to this node. */
internal class HealthCheck(
    private val jobStore: JobStore,
    private val storeClient: StoreClient,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** The state at the last check; null before the first. */
    private var lastState: HealthState? = null

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
        val state = state()
        if (state != lastState) log.info("health check changed from {} to {}", lastState?.label, state.label)
        lastState = state
        return state.isHealthy
    }

    /** Returns whether this node is healthy now, and why. */
    fun state(): HealthState =
        when {
            !jobStore.isLoaded -> HealthState.NOT_LOADED
            jobStore.machineTypes.isEmpty() -> HealthState.NO_MACHINE_TYPES
            isWithin(ControlTuning.MAX_STATE_REPLY_AGE_MS, storeClient.lastReplyAtMs) -> HealthState.SERVING
            isWithin(ControlTuning.OUTAGE_REPORT_VALID_MS, leaderOutageReportedAtMs) -> HealthState.GENERAL_OUTAGE
            else -> HealthState.NO_STATE_REPLY
        }

    private fun isWithin(
        periodMs: Long,
        sinceMs: Long,
    ) = clock.steadyMs - sinceMs < periodMs
}
