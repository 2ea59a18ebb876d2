package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.EventLoopLagMonitor

/**
 * Detects machines that send no heartbeats. Heartbeats are expected from the election and from the end of a partition
 * of the machine's zone on; time in which this node lagged and heartbeats may have waited unread is excluded.
 */
internal class HeartbeatTimeouts(
    /** Time between two heartbeats of an agent. */
    private val intervalMs: Long,
    private val election: Election,
    private val lagMonitor: EventLoopLagMonitor,
    private val zones: PartitionedZones,
) {
    /** Steady-clock time: a machine without a heartbeat since is overdue. Computed once per check for all machines. */
    private var overdueSinceMs = Long.MIN_VALUE

    /** The same for [hasMissedHeartbeats]. */
    private var missedSinceMs = Long.MIN_VALUE

    /** The same for [isLost]. */
    private var lostSinceMs = Long.MIN_VALUE

    /** Computes the thresholds for a new check. */
    fun update() {
        overdueSinceMs = thresholdMs(AgentTuning.OVERDUE_HEARTBEAT_INTERVALS)
        missedSinceMs = thresholdMs(AgentTuning.MISSED_HEARTBEAT_INTERVALS)
        lostSinceMs = thresholdMs(AgentTuning.LOST_HEARTBEAT_INTERVALS)
    }

    private fun thresholdMs(intervals: Double) = lagMonitor.responsiveSince((intervalMs * intervals).toLong())

    /** Returns whether [machine] has sent no heartbeat for [AgentTuning.OVERDUE_HEARTBEAT_INTERVALS]. */
    fun isOverdue(machine: Machine): Boolean = expectedSinceMs(machine) <= overdueSinceMs

    /** Returns whether [machine] has sent no heartbeat for [AgentTuning.MISSED_HEARTBEAT_INTERVALS]. */
    fun hasMissedHeartbeats(machine: Machine): Boolean = expectedSinceMs(machine) <= missedSinceMs

    /** Returns whether [machine] has sent no heartbeat for [AgentTuning.LOST_HEARTBEAT_INTERVALS]. */
    fun isLost(machine: Machine): Boolean = expectedSinceMs(machine) <= lostSinceMs

    private fun expectedSinceMs(machine: Machine) =
        maxOf(machine.lastHeartbeatAtMs, election.electedAtMs, zones.reachableSinceMs(machine.zone))
}
