package ledgearch.model

/** The machines on which tasks of one job failed: the evidence that the job was submitted with a mistake. */
internal class JobFailures {
    private val machineNames = HashSet<String>()
    private val machineNamesByTask = HashMap<Int, MutableSet<String>>()

    /** Number of consecutive delays of the job because its tasks fail on every machine. */
    var consecutiveDelays = 0

    /** Whether the failures were blamed on the job, of which nothing had worked, until a task of it completes. */
    var failsEverywhere = false

    /** Steady-clock ms of the last failure. */
    private var lastAtMs = 0L

    /** Names of the machines on which tasks of the job failed since one last completed. */
    val machines: Set<String> get() = machineNames

    /** Names of the machines on which any task failed that has not completed since. */
    val machinesOfOpenTasks: Set<String> get() = machineNamesByTask.values.flatMapTo(LinkedHashSet()) { it }

    /** Returns whether a task failed within the last [durationMs]. */
    fun hasFailedWithin(
        durationMs: Long,
        nowMs: Long,
    ): Boolean = machineNamesByTask.isNotEmpty() && nowMs - lastAtMs < durationMs

    /** Records that the task [index] failed on the machine [machineName] at [nowMs]. */
    fun add(
        index: Int,
        machineName: String,
        nowMs: Long,
    ) {
        lastAtMs = nowMs
        machineNames.add(machineName)
        machineNamesByTask.getOrPut(index) { HashSet() }.add(machineName)
    }

    /** Returns on how many machines the task [index] failed. */
    fun machineCount(index: Int): Int = machineNamesByTask[index]?.size ?: 0

    /** Records that the task [index] has completed. */
    fun recordSuccess(index: Int) {
        machineNames.clear()
        machineNamesByTask.remove(index)
        failsEverywhere = false
        consecutiveDelays = 0
    }

    /** Removes the machines on which tasks failed, but not what is known of each task. */
    fun forgetMachines() = machineNames.clear()

    /** Removes all failures. */
    fun clear() {
        machineNames.clear()
        machineNamesByTask.clear()
        failsEverywhere = false
        consecutiveDelays = 0
    }
}
