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
 * One transaction that accepts several jobs, each on the condition that it has no record yet. [leadershipCondition] is
 * compared too; null on a node that does not lead. [maxChanges]: how many jobs it may accept.
 */
internal class SubmissionBatch(
    val leadershipCondition: Condition?,
    private val maxChanges: Int,
) {
    /** The submissions in the batch, in the order in which they were added. */
    val submissions = ArrayList<Submission>()

    /** What the transaction compares. */
    val conditions = ArrayList(listOfNotNull(leadershipCondition))

    /** What the transaction writes: one record for each submission. */
    val changes = ArrayList<Change>()

    /** Submissions of jobs that are cancelled as they are accepted. */
    val cancelled = HashSet<Submission>()
    private var plannedBytes = 0

    /**
     * Adds [submission] and marks it as sent; [isCancelled]: its job is accepted as cancelled. False, with nothing
     * changed, when the batch has no room for it. The first one always has room.
     */
    fun add(
        submission: Submission,
        isCancelled: Boolean,
    ): Boolean {
        val change = if (isCancelled) cancelledChange(submission.id) else openChange(submission.record)
        val size = plannedSizeOf(change)
        val isFull = changes.size >= maxChanges || plannedBytes + size > StoreTuning.MAX_TRANSACTION_BYTES
        if (isFull && submissions.isNotEmpty()) return false
        plannedBytes += size
        submissions.add(submission)
        conditions.add(Condition(Keys.job(submission.id), ABSENT))
        conditions.add(Condition(Keys.final(submission.id), ABSENT))
        changes.add(change)
        if (isCancelled) cancelled.add(submission)
        submission.markSent()
        return true
    }

    private fun cancelledChange(id: String): Change {
        val record = FinalRecord(JobState.CANCELLED)
        return Change(put = Keys.final(id), value = encodeRecord(FinalRecord.serializer(), record))
    }

    private fun openChange(record: JobRecord) =
        Change(put = Keys.job(record.spec.id), value = encodeRecord(JobRecord.serializer(), record))

    /** Bytes. */
    private fun plannedSizeOf(change: Change): Int {
        val text = change.value.toString()
        return text.encodeToByteArray().size * ApiTuning.VALUE_SIZE_FACTOR
    }

    private companion object {
        /** The revision that a condition names for a key that does not exist. */
        const val ABSENT = 0L
    }
}
