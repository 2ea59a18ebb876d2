package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.runtime.Clock

/** Machines with commands to be sent directly, and machines that direct commands don't reach. */
internal class DispatchQueue(
    private val clock: Clock,
    private val listener: AgentReplyListener,
) {
    private val pending = LinkedHashSet<Machine>()
    private val unreachable = LinkedHashSet<Machine>()

    /** Machines that a direct command did not reach: none is sent before the machine is reached again. */
    val unreachableMachines: Set<Machine> get() = unreachable

    /** No machine has commands to be sent. */
    val isEmpty: Boolean get() = pending.isEmpty()

    /** The term has ended. */
    fun clear() {
        pending.clear()
        unreachable.clear()
    }

    /** There are commands for [machine]. */
    fun add(machine: Machine) {
        pending.add(machine)
    }

    /** The commands for [machine] are being sent. */
    fun remove(machine: Machine) {
        pending.remove(machine)
    }

    /** [machine] is gone. */
    fun forget(machine: Machine) {
        pending.remove(machine)
        unreachable.remove(machine)
    }

    /** The machines to which commands may be sent now, in the order in which they were added. */
    fun sendable(): List<Machine> = pending.filter(::maySend)

    private fun maySend(machine: Machine) =
        !machine.commandInFlight &&
            !machine.unreachable &&
            machine.durable &&
            machine.confirmed &&
            !machine.releaseRequested

    /** [machine] has received what it was sent. */
    fun markReachable(machine: Machine) {
        machine.probesFailed = 0
        machine.probeAnswered()
        // What was lost meanwhile is sent once more.
        if (machine.unreachable) add(machine)
        machine.unreachable = false
        machine.unreachableSince = 0L
        unreachable.remove(machine)
    }

    /** What was sent to [machine] was not answered: nothing new is given to it until it is reached. */
    fun markUnreachable(machine: Machine) {
        if (!listener.isCurrent(machine)) return
        machine.unreachable = true
        if (machine.unreachableSince == 0L) machine.unreachableSince = clock.steadyMs
        unreachable.add(machine)
    }
}
