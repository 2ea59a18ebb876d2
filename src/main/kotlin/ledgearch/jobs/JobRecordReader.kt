package ledgearch.jobs

import ledgearch.records.FinalRecord
import ledgearch.records.Keys
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.KeyValue

/** The result of reading the records of one job. */
internal sealed interface JobReadResult {
    /** The job was open; [stored] is its open record. */
    class Open(
        val stored: KeyValue,
    ) : JobReadResult

    /** The job has ended; this is permanent. */
    class Ended(
        val record: FinalRecord,
    ) : JobReadResult

    /** None of the records that were read exists. */
    data object Absent : JobReadResult

    /** The state service gave no conclusive reply, or the record can't be decoded. */
    data object Unknown : JobReadResult
}

/**
 * Reads the records of single jobs from the state service, for users' requests.
 *
 * One transaction replaces a job's open record by its final one. The open record is therefore read first: if it and
 * then the final record are absent, the job had not been accepted when the first one was read.
 */
internal class JobRecordReader(
    private val storeClient: StoreClient,
    private val finalRecordReader: FinalRecordReader,
) {
    /** Reads the open record of the job [id] and, if it is absent, the final one. */
    fun read(
        id: String,
        done: (JobReadResult) -> Unit,
    ) = storeClient.get(Keys.job(id), RequestClass.ORDINARY) { result ->
        when (result) {
            is ReadResult.Found -> done(JobReadResult.Open(result.value))
            ReadResult.Absent -> readFinalRecord(id, done)
            ReadResult.Failed -> done(JobReadResult.Unknown)
        }
    }

    /** Reads only the final record of the job [id]. Its absence does not show whether the job was accepted. */
    fun readFinalRecord(
        id: String,
        done: (JobReadResult) -> Unit,
    ) = finalRecordReader.read(id, FinalRecordUse.USER_REQUEST, done)
}
