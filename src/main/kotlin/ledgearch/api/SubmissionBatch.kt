package ledgearch.api

import ledgearch.http.Response
import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord
import ledgearch.records.Keys
import ledgearch.records.encodeRecord
import ledgearch.store.StoreTuning
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.JobState

/** A job that is to be accepted, and who waits for it. [endedDependencies]: final records that were read for it. */
internal class Submission(
    val record: JobRecord,
    val since: Long,
    val endedDependencies: Map<String, FinalRecord>,
) {
    val id: String get() = record.spec.id

    /** Those who asked before the transaction was first sent: its answer is theirs. */
    val first = ArrayList<Respond>()

    /** Those who asked later: it may have been carried out, and more told of the job, before they did. */
    val late = ArrayList<Respond>()

    /** Its transaction was sent at least once. */
    var sent = false

    /** The same job was submitted again. */
    fun join(respond: Respond) {
        val group = if (sent) late else first
        group.add(respond)
    }

    /** Everyone gets the same answer. */
    fun answer(response: Response) {
        first.forEach { it(response) }
        late.forEach { it(response) }
        first.clear()
        late.clear()
    }
}

/** One transaction that accepts several jobs; it compares [leadershipCondition] where this node leads. */
internal class SubmissionBatch(
    val leadershipCondition: Condition?,
    private val maxChanges: Int,
) {
    val submissions = ArrayList<Submission>()
    val conditions = ArrayList(listOfNotNull(leadershipCondition))
    val changes = ArrayList<Change>()

    /** Those that are cancelled as they are accepted. */
    val cancelled = HashSet<Submission>()
    private var bytes = 0

    /** False when there is no room for [submission]; the first always has room. */
    fun add(
        submission: Submission,
        isCancelled: Boolean,
    ): Boolean {
        val change = if (isCancelled) cancelledChange(submission.id) else openChange(submission.record)
        val size = sizeOf(change)
        val isFull = changes.size >= maxChanges || bytes + size > StoreTuning.TRANSACTION_BYTES
        if (isFull && submissions.isNotEmpty()) return false
        bytes += size
        submissions.add(submission)
        conditions.add(Condition(Keys.job(submission.id), ABSENT))
        conditions.add(Condition(Keys.final(submission.id), ABSENT))
        changes.add(change)
        if (isCancelled) cancelled.add(submission)
        submission.sent = true
        return true
    }

    private fun cancelledChange(id: String): Change {
        val record = FinalRecord(JobState.CANCELLED)
        return Change(put = Keys.final(id), value = encodeRecord(FinalRecord.serializer(), record))
    }

    private fun openChange(record: JobRecord) =
        Change(put = Keys.job(record.spec.id), value = encodeRecord(JobRecord.serializer(), record))

    private fun sizeOf(change: Change): Int {
        val text = change.value.toString()
        return text.encodeToByteArray().size * SIZE_FACTOR
    }

    private companion object {
        /** The stamp of a key that does not exist. */
        const val ABSENT = 0L

        /** A value is counted this many times over against the room of a transaction. */
        const val SIZE_FACTOR = 2
    }
}
