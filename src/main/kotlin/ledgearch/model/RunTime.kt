package ledgearch.model

/** The mean run time of a job's finished tasks, updated task by task. */
internal class RunTime {
    /** How many tasks the mean is over. */
    var tasks = 0
        private set

    /** Seconds; 0 as long as there are no [tasks]. */
    var mean = 0.0
        private set

    /** One more task has run for [seconds]. */
    fun add(seconds: Double) {
        tasks++
        mean += (seconds - mean) / tasks
    }

    /** Forgets all tasks. */
    fun clear() {
        tasks = 0
        mean = 0.0
    }
}
