package ledgearch.agents

import ledgearch.autoscaling.Autoscaler
import ledgearch.model.Machine
import ledgearch.recovery.ZoneRecovery
import ledgearch.runtime.Clock
import ledgearch.scheduling.SpotReliability

/** Releases failed machines: counts the loss and returns the machine to the cloud. */
internal class MachineReleaser(
    private val autoscaler: Autoscaler,
    private val reliability: SpotReliability,
    private val recovery: ZoneRecovery?,
    private val clock: Clock,
) {
    /** Releases [machine]; its attempts count as gone once the cloud has confirmed the release. */
    fun release(machine: Machine) {
        reliability.recordLoss(machine, clock.steadyMs)
        recovery?.onMachineFailed(machine)
        autoscaler.release(machine)
    }
}
