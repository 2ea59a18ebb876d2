package ledgearch.model

/** The machines on which tasks of one job failed: the evidence that the job was submitted with a mistake. */
internal class JobFailures {
    private val machineNames = HashSet<String>()
    private val machineNamesByTask = HashMap<Int, MutableSet<String>>()

    /** Number of consecutive delays of the job because its tasks fail on every machine. */
    var consecutiveDelays = 0

    /** Whether the failures were blamed on the job, of which nothing had worked, until a task of it completes. */
    var failsEverywhere = false

    /** Names of the machines on which tasks of the job failed since one last completed. */
    val machines: Set<String> get() = machineNames

    /** Records that the task [index] failed on the machine [machineName]. */
    fun add(
        index: Int,
        machineName: String,
    ) {
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
