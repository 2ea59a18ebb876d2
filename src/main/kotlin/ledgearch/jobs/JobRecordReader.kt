package ledgearch.jobs

import ledgearch.records.FinalRecord
import ledgearch.records.Keys
import ledgearch.records.decodeRecord
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.KeyValue

/** What a read of one job's records has found. */
internal sealed interface JobReading {
    /** The job was open; [stored] is its open record as it was stored. */
    class Open(
        val stored: KeyValue,
    ) : JobReading

    /** The job is over, for ever. */
    class Over(
        val record: FinalRecord,
    ) : JobReading

    /** None of the records that were read exists. */
    data object Absent : JobReading

    /** The state service gave no conclusive answer, or a record that can't be read. */
    data object Unknown : JobReading
}

/**
 * Reads the records of one job from the state service and remembers a final one.
 *
 * A job moves from its open record to its final one in one transaction. The open record is therefore read first: where
 * it and then the final record are absent, the job had not been accepted when the first was read.
 */
internal class JobRecordReader(
    private val state: StoreClient,
    private val rememberFinal: (String, FinalRecord) -> Unit,
) {
    /** Reads the open record of the job [id] and, where that is absent, the final one. */
    fun read(
        id: String,
        done: (JobReading) -> Unit,
    ) = state.get(Keys.job(id), RequestClass.ORDINARY) { result ->
        when (result) {
            is ReadResult.Found -> done(JobReading.Open(result.value))
            ReadResult.Absent -> readFinal(id, done)
            ReadResult.Failed -> done(JobReading.Unknown)
        }
    }

    /** Reads only the final record: that it is absent doesn't tell whether the job was accepted. */
    fun readFinal(
        id: String,
        done: (JobReading) -> Unit,
    ) = state.get(Keys.final(id), RequestClass.ORDINARY) { result ->
        when (result) {
            is ReadResult.Found -> done(remember(id, result.value))
            ReadResult.Absent -> done(JobReading.Absent)
            ReadResult.Failed -> done(JobReading.Unknown)
        }
    }

    private fun remember(
        id: String,
        stored: KeyValue,
    ): JobReading {
        val record = decodeRecord(FinalRecord.serializer(), stored.value) ?: return JobReading.Unknown
        rememberFinal(id, record)
        return JobReading.Over(record)
    }
}
