package ledgearch.persistence

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.records.Keys
import ledgearch.records.encodeRecord
import ledgearch.wire.Change
import ledgearch.wire.JobState

/** Told what becomes of the jobs in [JobClosings]. */
internal interface JobClosingListener {
    /** [job] is over and needs no more writes: its final record, by this leader or another, is durable. */
    fun forgotten(job: Job)

    /** The final record of [job] was written by this leader. */
    fun closed(
        job: Job,
        record: FinalRecord,
    )
}

/**
 * Jobs that are over, each until its final record is durable: that record is written and the open one removed in one
 * transaction, which compares the open record's revision.
 */
internal class JobClosings(
    private val jobStore: JobStore,
    private val listener: JobClosingListener,
) : RecordCollector {
    private class Closing(
        val job: Job,
        val state: JobState,
    ) {
        val record get() = FinalRecord(state, if (state == JobState.DONE) job.spec.taskCount else 0)
    }

    private val closings = LinkedHashMap<String, Closing>()

    /**
     * By job id, the revision of an open record that the state service has no more at that revision: what became of
     * the job is learnt from the watch.
     */
    private val outdatedRevisions = HashMap<String, Long>()

    /** [job] is over in [state]; a job that is being closed already stays as it is. */
    fun add(
        job: Job,
        state: JobState,
    ) {
        if (job.closing) return
        job.closing = true
        closings[job.id] = Closing(job, state)
    }

    /** The comparison of the open record of the job [id] with [revision] has failed. */
    fun conflicted(
        id: String,
        revision: Long,
    ) {
        outdatedRevisions[id] = revision
    }

    /** Forgets all jobs: a leadership term has ended. */
    fun clear() {
        outdatedRevisions.clear()
        closings.clear()
    }

    override fun collect(batch: Batch): Boolean {
        for (closing in closings.values) {
            val job = closing.job
            // The revision is compared so that a cancellation marked meanwhile is seen before the job is closed.
            if (!isOpen(job) || outdatedRevisions[job.id] == job.modRevision) continue
            if (!batch.add(entry(closing))) return false
        }
        closings.values
            .map { it.job }
            .filterNot(::isOpen)
            .forEach(::forget)
        return true
    }

    private fun isOpen(job: Job) = jobStore.jobs[job.id] === job

    private fun entry(closing: Closing): BatchEntry {
        val job = closing.job
        val record = closing.record
        val changes =
            listOf(
                Change(put = Keys.final(job.id), value = encodeRecord(FinalRecord.serializer(), record)),
                Change(remove = Keys.job(job.id)),
            )
        return BatchEntry(changes, job) {
            forget(job)
            listener.closed(job, record)
        }
    }

    private fun forget(job: Job) {
        closings.remove(job.id)
        outdatedRevisions.remove(job.id)
        listener.forgotten(job)
    }
}
