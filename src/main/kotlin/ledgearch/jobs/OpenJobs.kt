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

/** The open jobs known to this node, and a cache of the [finalRecordCacheSize] most recently used final records. */
internal class OpenJobs(
    storeClient: StoreClient,
    clock: Clock,
    private val listener: JobStoreListener,
    dependencyListener: DependencyListener,
    finalRecordCacheSize: Long,
) {
    /** The open jobs by id, in the order in which this node learned of them. */
    val byId = LinkedHashMap<String, Job>()
    private val finalRecords = LruMap<String, FinalRecord>(finalRecordCacheSize)

    /** Reads final records for users and for the dependencies. */
    val finalRecordReader = FinalRecordReader(storeClient, clock, onFinalRecord = ::addFinalRecord)

    /** Reads the records of single jobs directly, independent of the watch. */
    val recordReader = JobRecordReader(storeClient, finalRecordReader)

    /** The dependencies between the open jobs. */
    val dependencies = JobDependencies(finalRecordReader, clock, byId, ::finalRecord, dependencyListener)

    /** Returns the final record of the job [id]; null if it is not cached. */
    fun finalRecord(id: String): FinalRecord? = finalRecords[id]

    /** Caches [record], the final record of the job [id], closes the job and updates its dependents. */
    fun addFinalRecord(
        id: String,
        record: FinalRecord,
    ) {
        finalRecords[id] = record
        close(id)
        dependencies.applyFinalRecord(id, record)
    }

    /** Removes the job [id] from the open jobs. */
    fun close(id: String) {
        val job = byId.remove(id) ?: return
        dependencies.removeJob(job)
        listener.onJobClosed(job)
    }

    /** Closes the job [id], whose open record was removed at [revision], unless the known record is newer. */
    fun remove(
        id: String,
        revision: Long,
    ) {
        val job = byId[id]
        if (job != null && revision > job.modRevision) close(id)
    }

    /** Adds the open record that was stored under [key] at [revision], unless it belongs to another key. */
    fun putStored(
        key: String,
        value: JsonElement?,
        revision: Long,
    ) {
        val record = decodeRecord(JobRecord.serializer(), value) ?: return
        if (key != Keys.job(record.spec.id)) return
        put(record, revision)
    }

    /** Opens the job of [record], stored at [revision], or updates it if [revision] is newer than the known one. */
    fun put(
        record: JobRecord,
        revision: Long,
    ) {
        val known = byId[record.spec.id]
        if (known == null) {
            if (finalRecord(record.spec.id) == null) open(Job(record, revision))
        } else if (revision > known.modRevision) {
            known.modRevision = revision
            known.record = record
            listener.onJobChanged(known)
        }
    }

    private fun open(job: Job) {
        byId[job.id] = job
        dependencies.addJob(job)
        listener.onJobOpened(job)
    }
}
