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

    /** Keys of the open records of the job's dependencies that the conditions for this poll compare. */
    var dependencyKeys: Set<String> = emptySet()

    /** Whether only a newer view can confirm the job: that of a dependency is outdated, or they are too many. */
    var waitsForView = false
}

/** The polls that one transaction confirms, and the conditions that it compares for them. */
internal class PollBatch(
    private val maxConditions: Int,
) {
    /** The polls in the order in which they were added. */
    val polls = ArrayList<Poll>()
    private val keyRevisions = LinkedHashMap<String, Long>()

    /** Whether there is room for the conditions of a poll for a job without dependencies. */
    val hasRoom: Boolean get() = keyRevisions.size + ApiTuning.MAX_CONDITIONS_PER_POLL <= maxConditions

    /** Adds [poll] for a job that is not open in this node's view. Only call this if [hasRoom]. */
    fun addUnknown(poll: Poll) {
        polls.add(poll)
        poll.expectsOpen = false
        keyRevisions[Keys.job(poll.id)] = 0
        keyRevisions[Keys.final(poll.id)] = 0
    }

    /**
     * Adds [poll] for [job], which is open in this node's view, and so are its unfinished [dependencies], direct and
     * indirect: another node may report the job as cancelled as soon as one of them is. Returns false if there is no
     * room left for the conditions, and sets [Poll.waitsForView] if an empty batch has none either.
     */
    fun addOpen(
        poll: Poll,
        job: Job,
        dependencies: Sequence<Job>,
    ): Boolean {
        val revisions = LinkedHashMap<String, Long>()
        for (open in sequenceOf(job) + dependencies) {
            revisions[Keys.job(open.id)] = open.modRevision
            if (revisions.size > maxConditions) {
                poll.waitsForView = true
                return false
            }
        }
        if (keyRevisions.size + revisions.keys.count { it !in keyRevisions } > maxConditions) return false
        polls.add(poll)
        poll.expectsOpen = true
        poll.dependencyKeys = revisions.keys - Keys.job(job.id)
        keyRevisions += revisions
        return true
    }

    /** Returns the conditions of the transaction: one per key, even if several polls are for the same job. */
    fun conditions(): List<Condition> = keyRevisions.map { (key, modRevision) -> Condition(key, modRevision) }
}
