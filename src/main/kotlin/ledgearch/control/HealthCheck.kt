package ledgearch.control

import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient

/** Whether users are to be sent to this node. */
internal class HealthCheck(
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val clock: Clock,
) {
    /** When the leader last said that the state service does not answer it either (steady ms). */
    private var leaderUnservedAt = Long.MIN_VALUE / 2

    /** The leader says that the state service does not answer it. */
    fun leaderIsUnserved() {
        leaderUnservedAt = clock.steadyMs
    }

    /**
     * Users are better served elsewhere while the state service refuses this node alone. In an outage nobody serves
     * them better, and nodes that all stepped aside would be long in coming back: what is known for good is answered,
     * and everyone else told at once when to come back.
     */
    fun isHealthy(): Boolean {
        if (!jobStore.isLoaded || jobStore.machineTypes.isEmpty()) return false
        return clock.steadyMs - state.lastReplyAtMs < ControlTuning.STATE_SILENT_MS ||
            clock.steadyMs - leaderUnservedAt < ControlTuning.OUTAGE_VALID_MS
    }
}
