package ledgearch.api

import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord
import ledgearch.records.Keys
import ledgearch.records.encodeRecord
import ledgearch.store.StoreTuning
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.JobState

/**
 * A transaction that accepts at most [maxChanges] jobs, on the condition that none of them has a record yet and that
 * [leadershipCondition] holds, which is null on a node that is not the leader.
 */
internal class SubmissionBatch(
    val leadershipCondition: Condition?,
    private val maxChanges: Int,
) {
    /** The submissions in the order in which they were added. */
    val submissions = ArrayList<Submission>()

    /** The conditions of the transaction. */
    val conditions = ArrayList(listOfNotNull(leadershipCondition))

    /** The changes of the transaction: one record per submission. */
    val changes = ArrayList<Change>()

    /** The submissions whose jobs are accepted as cancelled. */
    val cancelledSubmissions = HashSet<Submission>()
    private var plannedBytes = 0

    /**
     * Adds [submission] and marks it as sent; its job is accepted as cancelled if [isCancelled]. Returns false and
     * changes nothing if there is no room for it. There is always room for the first one.
     */
    fun add(
        submission: Submission,
        isCancelled: Boolean,
    ): Boolean {
        val change = if (isCancelled) cancelledChange(submission.id) else openChange(submission.record)
        val sizeBytes = plannedSizeBytes(change)
        val isFull = changes.size >= maxChanges || plannedBytes + sizeBytes > StoreTuning.MAX_TRANSACTION_BYTES
        if (isFull && submissions.isNotEmpty()) return false
        plannedBytes += sizeBytes
        submissions.add(submission)
        conditions.add(Condition(Keys.job(submission.id), ABSENT_REVISION))
        conditions.add(Condition(Keys.final(submission.id), ABSENT_REVISION))
        changes.add(change)
        if (isCancelled) cancelledSubmissions.add(submission)
        submission.markSent()
        return true
    }

    private fun cancelledChange(id: String): Change {
        val record = FinalRecord(JobState.CANCELLED)
        return Change(put = Keys.final(id), value = encodeRecord(FinalRecord.serializer(), record))
    }

    private fun openChange(record: JobRecord) =
        Change(put = Keys.job(record.spec.id), value = encodeRecord(JobRecord.serializer(), record))

    private fun plannedSizeBytes(change: Change): Int {
        val text = change.value.toString()
        return text.encodeToByteArray().size * ApiTuning.PLANNED_SIZE_FACTOR
    }

    private companion object {
        /** In a condition: the key must not exist. */
        const val ABSENT_REVISION = 0L
    }
}
