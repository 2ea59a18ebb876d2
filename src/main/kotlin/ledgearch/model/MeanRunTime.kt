package ledgearch.model

/** Running mean of the run times of a job's finished tasks. */
internal class MeanRunTime {
    var taskCount = 0
        private set

    /** 0 if [taskCount] is 0. */
    var seconds = 0.0
        private set

    /** Adds a task that ran for [taskSeconds]. */
    fun add(taskSeconds: Double) {
        taskCount++
        seconds += (taskSeconds - seconds) / taskCount
    }

    /** Removes all tasks. */
    fun clear() {
        taskCount = 0
        seconds = 0.0
    }
}
