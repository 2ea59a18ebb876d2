package ledgearch.control

import ledgearch.model.Machine

/** The machines of the cluster in the current leadership term; empty while this node does not lead. */
internal class MachineRegistry {
    private val byName = LinkedHashMap<String, Machine>()
    private val notConfirmed = LinkedHashSet<Machine>()

    /** The machines by name. */
    val machines: Map<String, Machine> get() = byName

    /** Machines whose agent has not confirmed the term's fencing token, in the order in which they are probed. */
    val unconfirmed: Set<Machine> get() = notConfirmed

    /** [machine] is part of the cluster in this term; another machine object of the same name is not. */
    fun contains(machine: Machine): Boolean = byName[machine.name] === machine

    /** [machine] belongs to the cluster from now on and has yet to confirm the token. */
    fun join(machine: Machine) {
        byName[machine.name] = machine
        machine.joined()
        notConfirmed.add(machine)
    }

    /** The agent of [machine] has confirmed the token. */
    fun confirmed(machine: Machine) {
        notConfirmed.remove(machine)
    }

    /** [machine] is gone, and all attempts on it were ended before. */
    fun remove(machine: Machine) {
        byName.remove(machine.name)
        machine.left()
        notConfirmed.remove(machine)
    }

    /** [ordered]: the unconfirmed machines in the order in which they are to be probed. */
    fun setProbeOrder(ordered: List<Machine>) {
        notConfirmed.clear()
        notConfirmed.addAll(ordered)
    }

    /** The term has ended. */
    fun clear() {
        byName.clear()
        notConfirmed.clear()
    }
}
