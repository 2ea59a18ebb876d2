package ledgearch.autoscaling

/** A machine that was requested at [requestedAtMs] (steady-clock ms) and has not sent a heartbeat. */
internal class BootingMachine(
    val pool: MachinePool,
    val requestedAtMs: Long,
)

/** The provisioned machines that have not sent a heartbeat, by name, in the order in which they were added. */
internal class BootingMachines {
    private val machines = LinkedHashMap<String, BootingMachine>()

    /** A view, not a copy. */
    val names: Set<String> get() = machines.keys

    /** A view, not a copy. */
    val all: Collection<BootingMachine> get() = machines.values
    val count: Int get() = machines.size

    /** Returns a copy, during whose iteration machines may be removed. */
    fun entries(): List<Map.Entry<String, BootingMachine>> = machines.entries.toList()

    /**
     * Adds the machine [name] unless it is in [cluster] already: it may have joined before the reply to its request
     * arrived.
     */
    fun add(
        cluster: Cluster,
        name: String,
        machine: BootingMachine,
    ) {
        if (name !in cluster.machines) machines.putIfAbsent(name, machine)
    }

    fun remove(name: String) {
        machines.remove(name)
    }

    /** Returns the results of [transform] for all names and machines. */
    fun <T> map(transform: (String, BootingMachine) -> T): List<T> =
        machines.map { (name, machine) -> transform(name, machine) }

    fun countIn(zone: String): Int = machines.values.count { it.pool.zone == zone }

    fun hasNoneIn(zone: String): Boolean = machines.values.none { it.pool.zone == zone }

    fun clear() = machines.clear()
}
