package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.StallCompensation

/**
 * For how many intervals machines have sent no heartbeat. Silence counts only while no heartbeat may wait here unread,
 * from the election on, and from the time at which a zone was received again.
 */
internal class HeartbeatSilence(
    /** ms between two heartbeats of an agent. */
    private val intervalMs: Long,
    private val election: Election,
    private val stalls: StallCompensation,
    private val zones: PartitionedZones,
) {
    /** Steady ms, worked out once a check and not for each machine: without a heartbeat since, one is overdue. */
    private var overdueSince = Long.MIN_VALUE

    /** The same for [isCutOff]. */
    private var cutOffSince = Long.MIN_VALUE

    /** The same for [isLost]. */
    private var lostSince = Long.MIN_VALUE

    /** A new check begins. */
    fun update() {
        overdueSince = since(AgentTuning.OVERDUE_HEARTBEATS)
        cutOffSince = since(AgentTuning.CUT_OFF_HEARTBEATS)
        lostSince = since(AgentTuning.LOST_HEARTBEATS)
    }

    private fun since(intervals: Double) = stalls.attentiveSince((intervalMs * intervals).toLong())

    /** [machine] has been silent for [AgentTuning.OVERDUE_HEARTBEATS]: it is probed. */
    fun isOverdue(machine: Machine): Boolean = silentSince(machine) <= overdueSince

    /** [machine] has been silent for [AgentTuning.CUT_OFF_HEARTBEATS]: with most others so, it is cut off. */
    fun isCutOff(machine: Machine): Boolean = silentSince(machine) <= cutOffSince

    /** [machine] has been silent for [AgentTuning.LOST_HEARTBEATS]: it is given up. */
    fun isLost(machine: Machine): Boolean = silentSince(machine) <= lostSince

    private fun silentSince(machine: Machine) =
        maxOf(machine.lastHeartbeatAt, election.electedAt, zones.reachableSince(machine.zone))
}
