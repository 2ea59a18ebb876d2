package ledgearch.model

/**
 * The tasks that failed on one machine, with no later one completed there: the evidence that the machine is faulty.
 * Times are steady-clock ms.
 */
internal class MachineFailures {
    private data class FailedTask(
        val job: Job,
        val index: Int,
    )

    /** Failures of one task. */
    private class Failures {
        var count = 0
        var lastAtMs = 0L
    }

    private val failuresByTask = LinkedHashMap<FailedTask, Failures>()

    val isEmpty: Boolean get() = failuresByTask.isEmpty()

    /** Records that the task [index] of [job] failed at [nowMs]. */
    fun add(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        val failures = failuresByTask.getOrPut(FailedTask(job, index)) { Failures() }
        failures.count++
        failures.lastAtMs = nowMs
    }

    /** Removes the failures of [job], which say nothing about the machine. */
    fun remove(job: Job) {
        failuresByTask.keys.removeIf { it.job === job }
    }

    /** Removes the failures before [timeMs]: they are old, or a task that was started after them has completed. */
    fun removeBefore(timeMs: Long) {
        failuresByTask.values.removeIf { it.lastAtMs < timeMs }
    }

    /** Removes all failures, since a trial has passed. */
    fun clear() = failuresByTask.clear()

    /** Returns the ids of the jobs whose tasks failed. */
    fun jobIds(): Set<String> = failuresByTask.keys.mapTo(LinkedHashSet()) { it.job.id }

    /** Returns the number of failures of each job, counting the tasks for which [counts] is true. */
    fun countByJob(counts: (job: Job, index: Int) -> Boolean): Map<Job, Int> {
        if (failuresByTask.isEmpty()) return emptyMap()
        val countsByJob = LinkedHashMap<Job, Int>()
        for ((task, failures) in failuresByTask) {
            if (counts(task.job, task.index)) countsByJob.merge(task.job, failures.count, Int::plus)
        }
        return countsByJob
    }
}
