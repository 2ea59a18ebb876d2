package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.model.Machine
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.scheduling.Placer

/** Puts a machine into service once its agent has confirmed the term's fencing token. */
internal class MachineConfirmation(
    private val machineRegistry: MachineRegistry,
    private val dispatcher: CommandDispatcher,
    private val recordWriter: RecordWriter,
    private val placer: Placer,
    private val placementLoop: PlacementLoop,
    private val clock: Clock,
) {
    /** Puts [machine] into service. */
    fun confirm(machine: Machine) {
        machine.confirm()
        dispatcher.markReachable(machine)
        machineRegistry.markConfirmed(machine)
        if (!machine.isDurable) recordWriter.putMachine(machine)
        placer.updateMachines()
        machine.latestLeaseStartMs = clock.steadyMs
        // The agent may have reached this leader only now, so the heartbeat timeout starts here.
        machine.lastHeartbeatAtMs = clock.steadyMs
        placementLoop.requestPass()
    }
}
