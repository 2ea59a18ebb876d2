package ledgearch.agents

import ledgearch.autoscaling.Autoscaler
import ledgearch.model.Machine
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.scheduling.Reliability

/** Gives up machines that were found failed: the loss is counted and the cloud told to take the machine back. */
internal class MachineReleases(
    private val autoscaler: Autoscaler,
    private val reliability: Reliability,
    private val recovery: ZoneRecovery?,
    private val clock: Clock,
) {
    /** Gives [machine] up for good; what runs there is gone once the cloud has confirmed the release. */
    fun release(machine: Machine) {
        reliability.lost(machine, clock.steadyMs)
        recovery?.machineFailed(machine)
        autoscaler.release(machine)
    }
}
