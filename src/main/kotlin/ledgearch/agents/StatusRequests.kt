package ledgearch.agents

import ledgearch.model.Machine

/**
 * Machines that are asked for their status by the next command or probe, since a heartbeat in their name contradicts
 * what is known of them. Only the reply tells whether the agent has restarted.
 */
internal class StatusRequests {
    private val waiting = LinkedHashSet<Machine>()

    /** The machines to be asked, in the order in which they were added. */
    val machines: List<Machine> get() = waiting.toList()

    /** Whether no machine is to be asked. */
    val isEmpty: Boolean get() = waiting.isEmpty()

    /** Adds [machine]. */
    fun add(machine: Machine) {
        waiting.add(machine)
    }

    /** Removes [machine], which is being asked or has left the cluster, and returns whether it was waiting. */
    fun remove(machine: Machine): Boolean = waiting.remove(machine)

    /** Removes all machines at the end of a term. */
    fun clear() = waiting.clear()
}
