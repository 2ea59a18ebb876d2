package ledgearch.api

import ledgearch.model.Job
import ledgearch.records.Keys
import ledgearch.wire.Condition

/** A poll for the job [id] that came at [receivedAt] (steady ms). */
internal class Poll(
    val id: String,
    val receivedAt: Long,
    val respond: Respond,
) {
    /** The transaction that carries this poll compares that the job is open, not that it was never accepted. */
    var comparedAsOpen = false
}

/** The polls that one transaction answers, and what it compares for them. */
internal class PollBatch(
    private val maxConditions: Int,
) {
    /** The polls in the batch, in the order in which they are answered. */
    val polls = ArrayList<Poll>()
    private val keyRevisions = LinkedHashMap<String, Long>()

    /** Whether one more poll certainly fits. */
    val hasRoom: Boolean get() = keyRevisions.size + ApiTuning.POLL_CONDITIONS <= maxConditions

    /** Adds [poll]; [job] is its open job as this node knows it, or null. */
    fun add(
        poll: Poll,
        job: Job?,
    ) {
        polls.add(poll)
        poll.comparedAsOpen = job != null
        keyRevisions[Keys.job(poll.id)] = job?.modRevision ?: 0
        if (job == null) keyRevisions[Keys.final(poll.id)] = 0
    }

    /** What the transaction compares: each key once, however many polls ask for its job. */
    fun conditions(): List<Condition> = keyRevisions.map { (key, modRevision) -> Condition(key, modRevision) }
}
