package ledgearch.persistence

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.FinishedTasksRecord
import ledgearch.records.Keys
import ledgearch.records.TaskChunks
import ledgearch.records.TaskRanges
import ledgearch.records.encodeRecord
import ledgearch.records.within
import ledgearch.runtime.Clock
import ledgearch.wire.Change
import java.util.BitSet

/**
 * Holds the open jobs with finished tasks that are not durable yet. Each chunk of a job's tasks has one record, which
 * is written again when more tasks of the chunk have finished.
 */
internal class PendingFinishedTaskWrites(
    maxValueBytes: Int,
    private val jobStore: JobStore,
    private val removals: PendingKeyRemovals,
    private val clock: Clock,
) : PendingWrites {
    private val chunks = TaskChunks(maxValueBytes)
    private val jobs = LinkedHashMap<String, Job>()

    /** Queues the finished tasks of [job] for writing. */
    fun add(job: Job) {
        jobs[job.id] = job
    }

    /** Drops the pending writes of [job], which has ended, and removes the records of its finished tasks. */
    fun discard(job: Job) {
        jobs.remove(job.id)
        job.writtenChunks.stream().forEach { removals.add(Keys.finished(job.id, it)) }
    }

    /** Drops all pending writes when a leadership term has ended. */
    fun clear() = jobs.clear()

    override fun addTo(batch: Batch): Boolean {
        for (job in jobs.values) {
            // Until the interval has passed, the machines still list the finished tasks, so the next leader learns of
            // them from there.
            if (job.isClosing ||
                clock.steadyMs - job.progressWrittenAtMs < PersistenceTuning.FINISHED_TASKS_WRITE_INTERVAL_MS
            ) {
                continue
            }
            if (batch.remainingChanges == 0) return false
            val entry = createEntry(job, batch.remainingChanges) ?: continue
            if (!batch.add(entry)) return false
        }
        return true
    }

    /** Returns an entry with at most [maxChunks] chunks of [job] that have unwritten tasks; null if there are none. */
    private fun createEntry(
        job: Job,
        maxChunks: Int,
    ): BatchEntry? {
        val tasksByChunk =
            unwrittenChunks(
                job,
            ).take(maxChunks).associateWith { job.finishedTasks.within(chunks.tasksOf(it)) }
        if (tasksByChunk.isEmpty()) return null
        // A write may take effect even if it is never answered, so its records have to be removed with the job.
        tasksByChunk.keys.forEach(job.writtenChunks::set)
        val changes = tasksByChunk.map { (chunk, tasks) -> createChange(job, chunk, tasks) }
        return BatchEntry(changes) { markWritten(job, tasksByChunk) }
    }

    private fun createChange(
        job: Job,
        chunk: Int,
        tasks: BitSet,
    ): Change {
        val record = FinishedTasksRecord(TaskRanges.encode(tasks))
        return Change(
            put = Keys.finished(job.id, chunk),
            value = encodeRecord(FinishedTasksRecord.serializer(), record),
        )
    }

    /** Returns the chunks with finished tasks that are not known to be durable. */
    private fun unwrittenChunks(job: Job): List<Int> {
        val tasks = job.finishedTasks.clone() as BitSet
        tasks.andNot(job.recordedTasks)
        return tasks
            .stream()
            .map(chunks::chunkOf)
            .distinct()
            .toArray()
            .toList()
    }

    private fun markWritten(
        job: Job,
        tasksByChunk: Map<Int, BitSet>,
    ) {
        job.progressWrittenAtMs = clock.steadyMs
        tasksByChunk.values.forEach(job.recordedTasks::or)
        // If the job has ended in the meantime, nothing else would remove these records.
        if (jobStore.jobs[job.id] !== job) tasksByChunk.keys.forEach { removals.add(Keys.finished(job.id, it)) }
        if (job.finishedTasks == job.recordedTasks) jobs.remove(job.id)
    }
}
