package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.EventLoopLagMonitor

/**
 * Measures how many heartbeat intervals machines have been silent. Silence counts from the election and from the end of
 * a partition of the machine's zone; time in which this node lagged and heartbeats may have waited unread is excluded.
 */
internal class HeartbeatSilence(
    /** Time between two heartbeats of an agent. */
    private val intervalMs: Long,
    private val election: Election,
    private val lagMonitor: EventLoopLagMonitor,
    private val zones: PartitionedZones,
) {
    /** Steady-clock time: a machine without a heartbeat since is overdue. Computed once per check for all machines. */
    private var overdueSinceMs = Long.MIN_VALUE

    /** The same for [isSilent]. */
    private var silentSinceMs = Long.MIN_VALUE

    /** The same for [isLost]. */
    private var lostSinceMs = Long.MIN_VALUE

    /** Computes the thresholds for a new check. */
    fun update() {
        overdueSinceMs = thresholdMs(AgentTuning.OVERDUE_HEARTBEAT_INTERVALS)
        silentSinceMs = thresholdMs(AgentTuning.SILENT_HEARTBEAT_INTERVALS)
        lostSinceMs = thresholdMs(AgentTuning.LOST_HEARTBEAT_INTERVALS)
    }

    private fun thresholdMs(intervals: Double) = lagMonitor.responsiveSince((intervalMs * intervals).toLong())

    /** Returns whether [machine] has sent no heartbeat for [AgentTuning.OVERDUE_HEARTBEAT_INTERVALS]. */
    fun isOverdue(machine: Machine): Boolean = silenceStartMs(machine) <= overdueSinceMs

    /** Returns whether [machine] has sent no heartbeat for [AgentTuning.SILENT_HEARTBEAT_INTERVALS]. */
    fun isSilent(machine: Machine): Boolean = silenceStartMs(machine) <= silentSinceMs

    /** Returns whether [machine] has sent no heartbeat for [AgentTuning.LOST_HEARTBEAT_INTERVALS]. */
    fun isLost(machine: Machine): Boolean = silenceStartMs(machine) <= lostSinceMs

    private fun silenceStartMs(machine: Machine) =
        maxOf(machine.lastHeartbeatAtMs, election.electedAtMs, zones.reachableSinceMs(machine.zone))
}
