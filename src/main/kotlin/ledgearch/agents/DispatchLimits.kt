package ledgearch.agents

import ledgearch.config.Deployment
import ledgearch.runtime.MS_PER_SECOND

/** Limits on concurrent direct commands, and the time to wait for a heartbeat before probing. */
internal class DispatchLimits(
    val maxConcurrentProbes: Int,
    /** Direct commands other than probes that may be in flight at once. */
    val maxConcurrentCommands: Int,
    /** Longest time between two heartbeats of a healthy agent. */
    val maxHeartbeatIntervalMs: Long,
    /** Time for which ended attempts wait for a renewal of the token, see [StartFencing]. */
    val fencingIntervalMs: Long,
) {
    companion object {
        /** Returns the limits that follow from the quota and the worker times of [deployment]. */
        fun of(deployment: Deployment) =
            DispatchLimits(
                AgentTuning.maxConcurrentProbes(deployment.quota.cpu),
                AgentTuning.maxConcurrentCommands(deployment.quota.fdLimit),
                (deployment.workers.heartbeatIntervalS * MS_PER_SECOND * AgentTuning.DUE_HEARTBEAT_INTERVALS).toLong(),
                (deployment.workers.leaseS * MS_PER_SECOND * AgentTuning.FENCING_INTERVAL_LEASES).toLong(),
            )
    }
}
