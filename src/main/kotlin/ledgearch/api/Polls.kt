package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import ledgearch.wire.Condition

/**
 * Polls for jobs. One for an unfinished job is answered only after a transaction, sent after the poll came, has
 * compared the stamps of all polled jobs at once with what this node knows.
 */
internal class Polls(
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val clock: Clock,
    private val dependencies: DependencyKnowledge,
    private val lookup: JobLookup,
    private val answers: JobAnswers,
) {
    private class Poll(
        val id: String,
        val since: Long,
        val respond: Respond,
    ) {
        /** What is being compared is that the job is open, not that nobody submitted it. */
        var asOpen = false
    }

    /** What one transaction compares, and the polls that it answers. */
    private class Batch {
        val polls = ArrayList<Poll>()
        val keyRevisions = LinkedHashMap<String, Long>()

        fun add(
            poll: Poll,
            job: Job?,
        ) {
            polls.add(poll)
            poll.asOpen = job != null
            keyRevisions[Keys.job(poll.id)] = job?.modRevision ?: 0
            if (job == null) keyRevisions[Keys.final(poll.id)] = 0
        }

        fun conditions() = keyRevisions.map { (key, modRevision) -> Condition(key, modRevision) }
    }

    private val waiting = ArrayDeque<Poll>()
    private var confirming = false
    private var retryAt = 0L

    /** A user asks for the state of the job [id]. */
    fun add(
        id: String,
        respond: Respond,
    ) {
        if (!Validation.isJobId(id)) return respond(answers.unknownJob())
        jobStore.final(id)?.let { return respond(answers.over(id, it)) }
        if (waiting.size >= ApiTuning.INTAKE_BACKLOG) return respond(answers.tryAgain())
        waiting.addLast(Poll(id, clock.steadyMs, respond))
    }

    /** Turns away those that have waited too long. */
    fun expire() {
        while (waiting.isNotEmpty() && clock.steadyMs - waiting.first().since >= ApiTuning.POLL_MS) {
            waiting.removeFirst().respond(answers.tryAgain())
        }
    }

    /** Confirms what is known of the polled jobs unless a transaction is under way. */
    fun flush() {
        if (confirming || waiting.isEmpty() || clock.steadyMs < retryAt) return
        val batch = nextBatch()
        if (batch.polls.isEmpty()) return
        confirming = true
        state.transact(batch.conditions(), emptyList(), RequestClass.ORDINARY) { result ->
            confirming = false
            confirmed(batch, result)
        }
    }

    private fun nextBatch(): Batch {
        val batch = Batch()
        val heldBack = ArrayList<Poll>()
        while (waiting.isNotEmpty() && batch.keyRevisions.size + KEYS_OF_A_POLL <= state.maxConditions) {
            val poll = waiting.removeFirst()
            val job = jobStore.jobs[poll.id]
            val final = jobStore.final(poll.id)
            when {
                final != null -> poll.respond(answers.over(poll.id, final))

                // Withdrawn with another job, and its final record about to be written; or too little is known of what
                // it waits for.
                job != null && !dependencies.mayTellOpen(job) -> heldBack.add(poll)

                else -> batch.add(poll, job)
            }
        }
        heldBack.asReversed().forEach(waiting::addFirst)
        return batch
    }

    private fun confirmed(
        batch: Batch,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                batch.polls.forEach(::answer)
            }

            is TransactionResult.Conflict -> {
                batch.polls.asReversed().forEach { differed(it, result.failed) }
            }

            TransactionResult.Refused, TransactionResult.TooLarge, TransactionResult.LeaseExpired -> {
                batch.polls.forEach { it.respond(answers.tryAgain()) }
            }

            TransactionResult.Unknown -> {
                retryAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
                batch.polls.asReversed().forEach(waiting::addFirst)
            }
        }
    }

    /** [poll]'s job was open at the stamp known here, or unknown to the state service. */
    private fun answer(poll: Poll) {
        val final = jobStore.final(poll.id)
        val job = jobStore.jobs[poll.id]
        when {
            final != null -> poll.respond(answers.over(poll.id, final))

            job != null && !dependencies.mayTellOpen(job) -> waiting.addFirst(poll)

            job != null -> poll.respond(answers.open(job))

            // It ended since, and how is not remembered here.
            poll.asOpen -> lookup.answer(poll.id, poll.respond) { poll.respond(answers.tryAgain()) }

            else -> poll.respond(answers.unknownJob())
        }
    }

    /** The comparison with the keys in [failed] did not hold: if [poll]'s job is among them it is read. */
    private fun differed(
        poll: Poll,
        failed: List<String>,
    ) {
        if (Keys.job(poll.id) in failed || Keys.final(poll.id) in failed) {
            lookup.answer(poll.id, poll.respond) { poll.respond(answers.unknownJob()) }
        } else {
            waiting.addFirst(poll)
        }
    }

    private companion object {
        /** A poll compares the stamps of the open and the final record at most. */
        const val KEYS_OF_A_POLL = 2
    }
}
