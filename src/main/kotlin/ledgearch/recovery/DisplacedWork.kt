package ledgearch.recovery

import ledgearch.model.Job
import ledgearch.model.TaskAttempt
import org.roaringbitmap.RoaringBitmap

/** The tasks that a lost zone displaced and that have not been started again, by job. */
internal class DisplacedWork(
    private val order: RecoveryOrder,
) {
    /** A displaced job. It is kept, without tasks, until the recovery is over: its group still counts. */
    private class Entry(
        val job: Job,
        val group: Int,
    ) {
        /** Arrays have up to 100,000 tasks, of which any part may be lost. */
        val waiting = RoaringBitmap()
    }

    private val entries = LinkedHashMap<Job, Entry>()

    val isEmpty: Boolean get() = entries.isEmpty()

    fun clear() = entries.clear()

    /** [p] is gone with its machine. */
    fun lost(attempt: TaskAttempt) {
        val job = attempt.job ?: return
        if (job.closed || job.record.cancelRequested || job.finished.get(attempt.index)) return
        entryOf(job).waiting.add(attempt.index)
    }

    /** All tasks of [job] that wait: a leader that took over after the loss can't tell which of them ran before. */
    fun allWaitingOf(job: Job) {
        var index = job.nextPending() ?: return
        val entry = entryOf(job)
        while (true) {
            entry.waiting.add(index)
            index = job.nextPending(index + 1) ?: return
        }
    }

    private fun entryOf(job: Job) = entries.getOrPut(job) { Entry(job, order.groupOf(job)) }

    fun started(
        job: Job,
        index: Int,
    ) {
        entries[job]?.waiting?.remove(index)
    }

    /** Some displaced task of [job] waits to be started again. */
    fun isWaiting(job: Job): Boolean = entries[job]?.waiting?.isEmpty == false

    /** The group of [job] if it was displaced, whether or not it is whole again. */
    fun groupOf(job: Job): Int? = entries[job]?.group

    /** Forgets jobs that are over. */
    fun removeClosed() {
        if (entries.isNotEmpty()) entries.keys.removeIf { it.closed || it.record.cancelRequested || it.complete }
    }

    val anyWaiting: Boolean get() = entries.values.any { !it.waiting.isEmpty }

    /** Displaced tasks that wait, by the names of the groups in their order; groups with none are left out. */
    fun waitingByGroup(): Map<String, Int> {
        val counts = LinkedHashMap<String, Int>()
        for ((group, name) in order.names.withIndex()) {
            val count = entries.values.filter { it.group == group }.sumOf { it.waiting.cardinality }
            if (count > 0) counts[name] = count
        }
        return counts
    }
}
