package ledgearch.persistence

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.Chunks
import ledgearch.records.FinishedRecord
import ledgearch.records.Keys
import ledgearch.records.Ranges
import ledgearch.records.encodeRecord
import ledgearch.records.within
import ledgearch.runtime.Clock
import ledgearch.wire.Change
import java.util.BitSet

/**
 * Finished tasks of open jobs, until they are durable: a record for each chunk of a job's tasks, written again when
 * more tasks of the chunk have finished.
 */
internal class FinishedTaskWrites(
    valueBytes: Int,
    private val jobStore: JobStore,
    private val removals: KeyRemovals,
    private val clock: Clock,
) : RecordCollector {
    private val chunks = Chunks(valueBytes)
    private val jobs = LinkedHashMap<String, Job>()

    /** Tasks of [job] have finished. */
    fun add(job: Job) {
        jobs[job.id] = job
    }

    /** [job] is over: the records of its finished tasks are removed. */
    fun forget(job: Job) {
        jobs.remove(job.id)
        job.writtenChunks.stream().forEach { removals.add(Keys.finished(job.id, it)) }
    }

    /** Forgets all jobs: a leadership term has ended. */
    fun clear() = jobs.clear()

    override fun collect(batch: Batch): Boolean {
        for (job in jobs.values) {
            // Until then its finished tasks stay on their machines' lists, from where the next leader would learn of
            // them.
            if (job.closing || clock.steadyMs - job.progressAt < PersistenceTuning.FINISHED_TASKS_INTERVAL_MS) continue
            if (batch.room == 0) return false
            val entry = entry(job, batch.room) ?: continue
            if (!batch.add(entry)) return false
        }
        return true
    }

    /** At most [room] chunks of [job] with tasks that are not durable; null if there are none. */
    private fun entry(
        job: Job,
        room: Int,
    ): BatchEntry? {
        val tasksOfChunk =
            unwrittenChunks(
                job,
            ).take(room).associateWith { job.finished.within(chunks.tasksOfChunk(it)) }
        if (tasksOfChunk.isEmpty()) return null
        // A write that is never answered may be carried out too, and its record is to be removed in the end.
        tasksOfChunk.keys.forEach(job.writtenChunks::set)
        val changes = tasksOfChunk.map { (chunk, tasks) -> change(job, chunk, tasks) }
        return BatchEntry(changes) { written(job, tasksOfChunk) }
    }

    private fun change(
        job: Job,
        chunk: Int,
        tasks: BitSet,
    ): Change {
        val record = FinishedRecord(Ranges.encode(tasks))
        return Change(
            put = Keys.finished(job.id, chunk),
            value = encodeRecord(FinishedRecord.serializer(), record),
        )
    }

    /** The chunks with tasks that are finished and not known to be durable. */
    private fun unwrittenChunks(job: Job): List<Int> {
        val tasks = job.finished.clone() as BitSet
        tasks.andNot(job.recorded)
        return tasks
            .stream()
            .map(chunks::numberOf)
            .distinct()
            .toArray()
            .toList()
    }

    /** The tasks of [job] in [tasksOfChunk], by chunk, are durable now. */
    private fun written(
        job: Job,
        tasksOfChunk: Map<Int, BitSet>,
    ) {
        job.progressAt = clock.steadyMs
        tasksOfChunk.values.forEach(job.recorded::or)
        // A final record written meanwhile would leave these chunks behind.
        if (jobStore.jobs[job.id] !== job) tasksOfChunk.keys.forEach { removals.add(Keys.finished(job.id, it)) }
        if (job.finished == job.recorded) jobs.remove(job.id)
    }
}
