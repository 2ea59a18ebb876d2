package ledgearch.autoscaling

import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.recovery.ZoneRecovery
import ledgearch.scheduling.Estimates
import ledgearch.scheduling.Reliability
import ledgearch.scheduling.ReplicaMover

/** What the autoscaler knows of the machines that the leader serves, and whom it tells of those that are gone. */
internal interface Cluster {
    /** The machines of the block, by name. */
    val machines: Map<String, Machine>
    val teams: TeamQuotas
    val estimates: Estimates
    val headroom: Headroom
    val reliability: Reliability
    val replicas: ReplicaMover

    /** Null unless the operators have switched it on. */
    val recovery: ZoneRecovery?

    /** Next to nothing is heard from some zone, or one is not yet back as it was. */
    val anyZoneUnsettled: Boolean

    /** Next to nothing is heard from this zone. */
    fun isCutOff(zone: String): Boolean

    /** The machine and everything on it are gone. */
    fun machineGone(machine: Machine)

    /** Something has changed that may let waiting tasks start. */
    fun changed()
}
