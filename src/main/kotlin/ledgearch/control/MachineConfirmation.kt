package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.model.Machine
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.scheduling.Placer

/** The step by which a machine enters service in a leadership term. */
internal class MachineConfirmation(
    private val registry: MachineRegistry,
    private val dispatcher: CommandDispatcher,
    private val recordWriter: RecordWriter,
    private val placer: Placer,
    private val placement: PlacementLoop,
    private val clock: Clock,
) {
    /** The agent of [machine] has confirmed the term's fencing token. */
    fun confirm(machine: Machine) {
        machine.confirm()
        dispatcher.markReachable(machine)
        registry.confirmed(machine)
        if (!machine.durable) recordWriter.putMachine(machine)
        placer.machinesChanged()
        machine.lastAnsweredAt = clock.steadyMs
        // It may have found the way back only now: its next heartbeat is due from here on.
        machine.lastHeartbeatAt = clock.steadyMs
        placement.requestPass()
    }
}
