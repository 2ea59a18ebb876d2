package ledgearch.jobs

import kotlinx.serialization.json.JsonElement
import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord
import ledgearch.records.Keys
import ledgearch.records.decodeRecord
import ledgearch.runtime.Clock
import ledgearch.runtime.LruMap
import ledgearch.store.StoreClient

/**
 * The open jobs that this node knows, and the final records that it remembers. [finalsKept]: how many of those, the
 * most recently used ones.
 */
internal class OpenJobs(
    state: StoreClient,
    clock: Clock,
    private val listener: JobStoreListener,
    dependencyListener: DependencyListener,
    finalsKept: Long,
) {
    /** By job id, in the order in which they became known. */
    val byId = LinkedHashMap<String, Job>()
    private val finals = LruMap<String, FinalRecord>(finalsKept)

    /** Reads single jobs past the watch. */
    val records = JobRecordReader(state, ::rememberFinal)

    /** Which open jobs depend on which others. */
    val dependencies = JobDependencies(records, clock, byId, ::final, dependencyListener)

    /** The final record of the job [id], null when this node does not remember one. */
    fun final(id: String): FinalRecord? = finals[id]

    /** The job [id] is over, by its final record [record]. */
    fun rememberFinal(
        id: String,
        record: FinalRecord,
    ) {
        finals[id] = record
        close(id)
        dependencies.ended(id, record)
    }

    /** The job [id] is not open any more. */
    fun close(id: String) {
        val job = byId.remove(id) ?: return
        dependencies.closed(job)
        listener.jobClosed(job)
    }

    /** The job [id] has no open record any more, by a removal at [revision]. */
    fun removed(
        id: String,
        revision: Long,
    ) {
        val job = byId[id]
        if (job != null && revision > job.modRevision) close(id)
    }

    /** The open record in [value] was stored under [key] at [revision]; one that doesn't belong there is left out. */
    fun putStored(
        key: String,
        value: JsonElement?,
        revision: Long,
    ) {
        val record = decodeRecord(JobRecord.serializer(), value) ?: return
        if (key != Keys.job(record.spec.id)) return
        put(record, revision)
    }

    /** A job has the open record [record] since [revision]; what is known here and as new stays as it is. */
    fun put(
        record: JobRecord,
        revision: Long,
    ) {
        val known = byId[record.spec.id]
        if (known == null) {
            if (final(record.spec.id) == null) open(Job(record, revision))
        } else if (revision > known.modRevision) {
            known.modRevision = revision
            known.record = record
            listener.jobChanged(known)
        }
    }

    private fun open(job: Job) {
        byId[job.id] = job
        dependencies.opened(job)
        listener.jobOpened(job)
    }
}
