package ledgearch.persistence

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.records.Keys
import ledgearch.records.encodeRecord
import ledgearch.runtime.Clock
import ledgearch.wire.Change
import ledgearch.wire.JobState

/** Receives the outcomes of [PendingJobClosings]. */
internal interface JobClosingListener {
    /** Called when a final record of [job] is durable, written by this leader or another. */
    fun onJobEnded(job: Job)

    /** Called after [onJobEnded] if this leader has written [record], the final record of [job]. */
    fun onFinalRecordWritten(
        job: Job,
        record: FinalRecord,
    )
}

/**
 * Holds jobs that have ended until their final records are durable. One transaction writes the final record of a job
 * and removes the open one, on condition that the revision of the open record is unchanged.
 */
internal class PendingJobClosings(
    private val jobStore: JobStore,
    private val listener: JobClosingListener,
    private val clock: Clock,
) : PendingWrites {
    private class Closing(
        val job: Job,
        val state: JobState,
        /** Steady-clock time. */
        val addedAtMs: Long,
    ) {
        val record get() = FinalRecord(state, if (state == JobState.DONE) job.spec.taskCount else 0)
    }

    private val closings = LinkedHashMap<String, Closing>()

    /**
     * For each job id, the revision of the open record that a transaction found outdated. The job is not written again
     * before the watch has delivered the newer record or the end of the job.
     */
    private val outdatedRevisions = HashMap<String, Long>()

    /** Queues the final record of [job] with [state], unless the job is already being closed. */
    fun add(
        job: Job,
        state: JobState,
    ) {
        if (job.isClosing) return
        job.isClosing = true
        closings[job.id] = Closing(job, state, clock.steadyMs)
    }

    /** Records that the open record of the job [id] is no longer at [revision]. */
    fun markOutdated(
        id: String,
        revision: Long,
    ) {
        outdatedRevisions[id] = revision
    }

    /** Drops all pending writes when a leadership term has ended. */
    fun clear() {
        outdatedRevisions.clear()
        closings.clear()
    }

    /** Returns the number of jobs whose final record is not durable, and the age of the oldest. */
    fun report() = PendingWriteReport.of(closings.values.map { it.addedAtMs }, clock.steadyMs)

    override fun addTo(batch: Batch): Boolean {
        for (closing in closings.values) {
            val job = closing.job
            // The revision is compared so that a cancellation requested meanwhile is seen before the job is closed.
            if (!isOpen(job) || outdatedRevisions[job.id] == job.modRevision) continue
            if (!batch.add(createEntry(closing))) return false
        }
        closings.values
            .map { it.job }
            .filterNot(::isOpen)
            .forEach(::discard)
        return true
    }

    private fun isOpen(job: Job) = jobStore.jobs[job.id] === job

    private fun createEntry(closing: Closing): BatchEntry {
        val job = closing.job
        val record = closing.record
        val changes =
            listOf(
                Change(put = Keys.final(job.id), value = encodeRecord(FinalRecord.serializer(), record)),
                Change(remove = Keys.job(job.id)),
            )
        return BatchEntry(changes, job) {
            discard(job)
            listener.onFinalRecordWritten(job, record)
        }
    }

    private fun discard(job: Job) {
        closings.remove(job.id)
        outdatedRevisions.remove(job.id)
        listener.onJobEnded(job)
    }
}
