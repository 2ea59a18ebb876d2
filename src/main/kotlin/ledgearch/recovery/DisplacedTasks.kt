package ledgearch.recovery

import ledgearch.model.Job
import ledgearch.model.TaskAttempt
import org.roaringbitmap.RoaringBitmap

/** The tasks that were displaced by the loss of a zone and have not been started again, by job. */
internal class DisplacedTasks(
    private val order: RecoveryOrder,
) {
    /** A displaced job, kept without waiting tasks until the recovery is over, since its group still counts. */
    private class DisplacedJob(
        val group: Int,
    ) {
        /** Jobs have up to 100,000 tasks, any of which may be displaced. */
        val waitingTasks = RoaringBitmap()
    }

    private val jobs = LinkedHashMap<Job, DisplacedJob>()

    /** Whether no job has been displaced since the last recovery was over. */
    val isEmpty: Boolean get() = jobs.isEmpty()

    /** Whether any displaced task waits to be started again. */
    val hasWaitingTasks: Boolean get() = jobs.values.any { !it.waitingTasks.isEmpty }

    fun clear() = jobs.clear()

    /** Adds the task of [attempt], which was lost with its machine, if it is to run again. */
    fun add(attempt: TaskAttempt) {
        val job = attempt.job ?: return
        if (job.isClosed || job.record.cancelRequested || job.finishedTasks.get(attempt.index)) return
        displacedJob(job).waitingTasks.add(attempt.index)
    }

    /** Adds all pending tasks of [job]: a leader elected after the loss can't tell which of them ran before. */
    fun addPendingTasks(job: Job) {
        var index = job.nextPendingTask() ?: return
        val waitingTasks = displacedJob(job).waitingTasks
        while (true) {
            waitingTasks.add(index)
            index = job.nextPendingTask(index + 1) ?: return
        }
    }

    private fun displacedJob(job: Job) = jobs.getOrPut(job) { DisplacedJob(order.groupOf(job)) }

    fun onTaskStarted(
        job: Job,
        index: Int,
    ) {
        jobs[job]?.waitingTasks?.remove(index)
    }

    /** Returns whether any displaced task of [job] waits to be started again. */
    fun isWaiting(job: Job): Boolean = jobs[job]?.waitingTasks?.isEmpty == false

    /** Returns the group of [job] if it was displaced, even if all its tasks run again; otherwise null. */
    fun groupOf(job: Job): Int? = jobs[job]?.group

    fun removeEnded() {
        if (jobs.isNotEmpty()) jobs.keys.removeIf { it.isClosed || it.record.cancelRequested || it.isComplete }
    }

    /** Returns the number of waiting displaced tasks by group name, in the order of the groups and without zeros. */
    fun waitingByGroup(): Map<String, Int> {
        val counts = LinkedHashMap<String, Int>()
        for ((group, name) in order.groupNames.withIndex()) {
            val count = jobs.values.filter { it.group == group }.sumOf { it.waitingTasks.cardinality }
            if (count > 0) counts[name] = count
        }
        return counts
    }
}
