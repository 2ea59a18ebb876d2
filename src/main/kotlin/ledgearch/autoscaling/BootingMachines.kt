package ledgearch.autoscaling

/** A machine that was provisioned and has not reported; [since]: steady ms of its request. */
internal class BootingMachine(
    val pool: MachinePool,
    val since: Long,
)

/** The machines that were provisioned and have not reported, by name, the longest known first. */
internal class BootingMachines {
    private val machines = LinkedHashMap<String, BootingMachine>()

    /** Views, not copies. */
    val names: Set<String> get() = machines.keys
    val all: Collection<BootingMachine> get() = machines.values
    val count: Int get() = machines.size

    /** A copy, over which machines may be removed. */
    fun entries(): List<Map.Entry<String, BootingMachine>> = machines.entries.toList()

    /**
     * The machine [name] is to be waited for. No machine that is known boots: it may have been up and at work before
     * the answer to its request came.
     */
    fun expect(
        cluster: Cluster,
        name: String,
        machine: BootingMachine,
    ) {
        if (name !in cluster.machines) machines.putIfAbsent(name, machine)
    }

    /** The machine has reported, or is waited for no more. */
    fun remove(name: String) {
        machines.remove(name)
    }

    /** What [transform] makes of each name and machine. */
    fun <T> map(transform: (String, BootingMachine) -> T): List<T> =
        machines.map { (name, machine) -> transform(name, machine) }

    fun countIn(zone: String): Int = machines.values.count { it.pool.zone == zone }

    fun noneIn(zone: String): Boolean = machines.values.none { it.pool.zone == zone }

    fun clear() = machines.clear()
}
