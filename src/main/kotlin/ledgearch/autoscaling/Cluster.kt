package ledgearch.autoscaling

import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.recovery.ZoneRecovery
import ledgearch.scheduling.ReplicaMover
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.scheduling.SpotReliability

/** What the autoscaler sees of the leader's machines and plans, and whom it tells of machines that are gone. */
internal interface Cluster {
    /** The machines of the block, by name. */
    val machines: Map<String, Machine>

    /** The limits of the teams and what they use. */
    val teams: TeamQuotas

    /** Run times, and what running tasks free by them. */
    val estimates: RunTimeEstimates

    /** The room to keep free ahead of demand. */
    val headroom: Headroom

    /** Which jobs belong on on-demand machines. */
    val reliability: SpotReliability

    /** Moves replicas off machines that are to be emptied. */
    val replicas: ReplicaMover

    /** Null unless the operators have switched it on. */
    val recovery: ZoneRecovery?

    /** Next to nothing is heard from some zone, or one is not yet back as it was. */
    val anyZoneUnsettled: Boolean

    /** Next to nothing is heard from [zone]. */
    fun isCutOff(zone: String): Boolean

    /** [machine] and everything on it are gone. */
    fun machineGone(machine: Machine)

    /** Something has changed that may let waiting tasks start. */
    fun changed()
}
