package ledgearch.model

/** Running mean of the run times of a job's finished tasks. */
internal class RunTime {
    /** Number of tasks in the mean. */
    var tasks = 0
        private set

    /** Mean run time in seconds; 0 when there are no [tasks]. */
    var mean = 0.0
        private set

    /** Adds a task that ran for [seconds]. */
    fun add(seconds: Double) {
        tasks++
        mean += (seconds - mean) / tasks
    }

    /** Removes all tasks. */
    fun clear() {
        tasks = 0
        mean = 0.0
    }
}
