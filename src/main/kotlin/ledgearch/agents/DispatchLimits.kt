package ledgearch.agents

import ledgearch.config.Deployment
import ledgearch.runtime.MS_PER_SECOND

/** How many direct commands may be under way, and for how long a heartbeat is awaited before a probe. */
internal class DispatchLimits(
    /** Probes that may be under way at one time. */
    val probesAtOnce: Int,
    /** Other direct commands that may be under way at one time. */
    val callsAtOnce: Int,
    /** ms within which every agent sends a heartbeat by itself. */
    val heartbeatDueMs: Long,
) {
    companion object {
        /** The limits that the quota and the times of [deployment] leave. */
        fun of(deployment: Deployment) =
            DispatchLimits(
                AgentTuning.probesAtOnce(deployment.quota.cpu),
                AgentTuning.callsAtOnce(deployment.quota.fdLimit),
                (deployment.workers.reportS * MS_PER_SECOND * AgentTuning.DUE_HEARTBEATS).toLong(),
            )
    }
}
