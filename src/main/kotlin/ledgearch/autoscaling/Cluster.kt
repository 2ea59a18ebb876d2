package ledgearch.autoscaling

import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.recovery.ZoneRecovery
import ledgearch.scheduling.ReplicaMover
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.scheduling.SpotReliability

/** The leader's state that the autoscaler reads, and the operations on it that it calls. */
internal interface Cluster {
    /** The machines of the block, by name. */
    val machines: Map<String, Machine>

    /** The quotas of the teams and their usage. */
    val teams: TeamQuotas

    /** The estimated run times, and the processors that running tasks are expected to free. */
    val estimates: RunTimeEstimates

    /** The capacity to keep free for expected jobs. */
    val headroom: Headroom

    /** Decides which jobs belong on on-demand machines. */
    val reliability: SpotReliability

    /** Moves replicas off machines that are to be released. */
    val replicaMover: ReplicaMover

    /** The zone recovery; null unless it is enabled in the operator settings. */
    val recovery: ZoneRecovery?

    /** Whether any zone is partitioned or has not fully recovered. */
    val hasDegradedZone: Boolean

    /** Returns whether [zone] is partitioned or lost: almost none of its machines send heartbeats while others do. */
    fun isPartitioned(zone: String): Boolean

    /** Removes [machine], which no longer exists, and all attempts on it. */
    fun removeMachine(machine: Machine)

    /** Requests a placement pass because of a change that may let pending tasks start. */
    fun requestPlacementPass()
}
