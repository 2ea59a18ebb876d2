package ledgearch.recovery

import ledgearch.model.Job
import ledgearch.model.TaskAttempt
import org.roaringbitmap.RoaringBitmap

/** The tasks that a lost zone displaced and that have not been started again, by job. */
internal class DisplacedWork(
    private val order: RecoveryOrder,
) {
    /** A displaced job. It is kept, without tasks, until the recovery is over: its group still counts. */
    private class DisplacedJob(
        val group: Int,
    ) {
        /** Arrays have up to 100,000 tasks, of which any part may be lost. */
        val waitingTasks = RoaringBitmap()
    }

    private val jobs = LinkedHashMap<Job, DisplacedJob>()

    /** No job was displaced since the last recovery was over. */
    val isEmpty: Boolean get() = jobs.isEmpty()

    /** Some displaced task waits to be started again. */
    val anyWaiting: Boolean get() = jobs.values.any { !it.waitingTasks.isEmpty }

    fun clear() = jobs.clear()

    /** [attempt] is gone with its machine. */
    fun lost(attempt: TaskAttempt) {
        val job = attempt.job ?: return
        if (job.isClosed || job.record.cancelRequested || job.finishedTasks.get(attempt.index)) return
        displaced(job).waitingTasks.add(attempt.index)
    }

    /** All tasks of [job] that wait: a leader that took over after the loss can't tell which of them ran before. */
    fun allWaitingOf(job: Job) {
        var index = job.nextPendingTask() ?: return
        val waitingTasks = displaced(job).waitingTasks
        while (true) {
            waitingTasks.add(index)
            index = job.nextPendingTask(index + 1) ?: return
        }
    }

    private fun displaced(job: Job) = jobs.getOrPut(job) { DisplacedJob(order.groupOf(job)) }

    /** The task [index] of [job] was started. */
    fun started(
        job: Job,
        index: Int,
    ) {
        jobs[job]?.waitingTasks?.remove(index)
    }

    /** Some displaced task of [job] waits to be started again. */
    fun isWaiting(job: Job): Boolean = jobs[job]?.waitingTasks?.isEmpty == false

    /** The group of [job] if it was displaced, whether or not it is whole again; null for any other job. */
    fun groupOf(job: Job): Int? = jobs[job]?.group

    /** Forgets jobs that are over. */
    fun removeClosed() {
        if (jobs.isNotEmpty()) jobs.keys.removeIf { it.isClosed || it.record.cancelRequested || it.isComplete }
    }

    /** Displaced tasks that wait, by the names of the groups in their order; groups with none are left out. */
    fun waitingByGroup(): Map<String, Int> {
        val counts = LinkedHashMap<String, Int>()
        for ((group, name) in order.names.withIndex()) {
            val count = jobs.values.filter { it.group == group }.sumOf { it.waitingTasks.cardinality }
            if (count > 0) counts[name] = count
        }
        return counts
    }
}
