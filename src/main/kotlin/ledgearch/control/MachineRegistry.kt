package ledgearch.control

import ledgearch.model.Machine

/** The machines of the cluster in the current leadership term; empty while this node does not lead. */
internal class MachineRegistry {
    private val machinesByName = LinkedHashMap<String, Machine>()
    private val unconfirmedMachines = LinkedHashSet<Machine>()

    /** The machines by name. */
    val machines: Map<String, Machine> get() = machinesByName

    /** Machines whose agents have not confirmed the term's fencing token, in probe order. */
    val unconfirmed: Set<Machine> get() = unconfirmedMachines

    /** Returns whether [machine] is in the registry; another object with the same name does not count. */
    fun contains(machine: Machine): Boolean = machinesByName[machine.name] === machine

    /** Adds [machine] as an unconfirmed machine. */
    fun add(machine: Machine) {
        machinesByName[machine.name] = machine
        machine.join()
        unconfirmedMachines.add(machine)
    }

    /** Marks [machine] as confirmed: its agent has confirmed the token. */
    fun markConfirmed(machine: Machine) {
        unconfirmedMachines.remove(machine)
    }

    /** Removes [machine], whose attempts were ended before. */
    fun remove(machine: Machine) {
        machinesByName.remove(machine.name)
        machine.leave()
        unconfirmedMachines.remove(machine)
    }

    /** Sets the probe order of the unconfirmed machines to that of [ordered]. */
    fun setProbeOrder(ordered: List<Machine>) {
        unconfirmedMachines.clear()
        unconfirmedMachines.addAll(ordered)
    }

    /** Removes all machines at the end of a term. */
    fun clear() {
        machinesByName.clear()
        unconfirmedMachines.clear()
    }
}
