package ledgearch.api

import ledgearch.model.Job
import ledgearch.records.Keys
import ledgearch.wire.Condition

/** A poll for the state of the job [id] that arrived at [receivedAtMs] on the steady clock. */
internal class Poll(
    val id: String,
    val receivedAtMs: Long,
    val respond: Respond,
) {
    /** Whether the conditions for this poll require that the job is open, not that it was never accepted. */
    var expectsOpen = false
}

/** The polls that one transaction confirms, and the conditions that it compares for them. */
internal class PollBatch(
    private val maxConditions: Int,
) {
    /** The polls in the order in which they were added. */
    val polls = ArrayList<Poll>()
    private val keyRevisions = LinkedHashMap<String, Long>()

    /** Whether there is room for the conditions of another poll. */
    val hasRoom: Boolean get() = keyRevisions.size + ApiTuning.MAX_CONDITIONS_PER_POLL <= maxConditions

    /** Adds [poll]; [job] is its job if it is open in this node's view, otherwise null. */
    fun add(
        poll: Poll,
        job: Job?,
    ) {
        polls.add(poll)
        poll.expectsOpen = job != null
        keyRevisions[Keys.job(poll.id)] = job?.modRevision ?: 0
        if (job == null) keyRevisions[Keys.final(poll.id)] = 0
    }

    /** Returns the conditions of the transaction: one per key, even if several polls are for the same job. */
    fun conditions(): List<Condition> = keyRevisions.map { (key, modRevision) -> Condition(key, modRevision) }
}
