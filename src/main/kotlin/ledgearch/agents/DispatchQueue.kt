package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.runtime.Clock

/** Holds the machines with commands to be sent directly, and the machines that direct commands don't reach. */
internal class DispatchQueue(
    private val clock: Clock,
    private val listener: AgentReplyListener,
) {
    private val pending = LinkedHashSet<Machine>()
    private val unreachable = LinkedHashSet<Machine>()

    /** Machines that left a direct command unanswered and have not been reached since. */
    val unreachableMachines: Set<Machine> get() = unreachable

    /** Whether no machine has commands to be sent. */
    val isEmpty: Boolean get() = pending.isEmpty()

    /** Removes all machines at the end of a term. */
    fun clear() {
        pending.clear()
        unreachable.clear()
    }

    /** Adds [machine], which has commands to be sent. */
    fun enqueue(machine: Machine) {
        pending.add(machine)
    }

    /** Removes [machine], whose commands are being sent. */
    fun dequeue(machine: Machine) {
        pending.remove(machine)
    }

    /** Removes [machine], which has left the cluster. */
    fun remove(machine: Machine) {
        pending.remove(machine)
        unreachable.remove(machine)
    }

    /** Returns the machines to which commands may be sent now, in the order in which they were added. */
    fun sendable(): List<Machine> = pending.filter(::isSendable)

    private fun isSendable(machine: Machine) =
        !machine.isCommandInFlight &&
            !machine.isUnreachable &&
            machine.isDurable &&
            machine.isConfirmed &&
            !machine.isReleaseRequested

    /** Marks [machine] as reachable, and queues it if it was not, so that lost commands are sent again. */
    fun markReachable(machine: Machine) {
        machine.consecutiveFailedProbes = 0
        machine.recordProbeReply()
        if (machine.isUnreachable) enqueue(machine)
        machine.isUnreachable = false
        machine.unreachableSinceMs = 0L
        unreachable.remove(machine)
    }

    /** Marks [machine] as unreachable: it gets nothing new until it is reached again. */
    fun markUnreachable(machine: Machine) {
        if (!listener.isRegistered(machine)) return
        machine.isUnreachable = true
        if (machine.unreachableSinceMs == 0L) machine.unreachableSinceMs = clock.steadyMs
        unreachable.add(machine)
    }
}
