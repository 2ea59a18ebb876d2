package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult

/**
 * Polls for jobs. One for an unfinished job is answered only after a transaction, sent after the poll came, has
 * compared the revisions of all polled jobs at once with those that this node knows.
 */
internal class Polls(
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val clock: Clock,
    private val knowledge: DependencyKnowledge,
    private val lookup: JobLookup,
    private val answers: JobAnswers,
) {
    private val waiting = ArrayDeque<Poll>()
    private var transactionInFlight = false

    /** Steady ms before which no transaction is sent. */
    private var retryAt = 0L

    /** A user asks for the state of the job [id]. */
    fun add(
        id: String,
        respond: Respond,
    ) {
        if (!Validation.isJobId(id)) return respond(answers.unknownJob())
        jobStore.finalRecord(id)?.let { return respond(answers.over(id, it)) }
        if (waiting.size >= ApiTuning.REQUEST_BACKLOG) return respond(answers.tryAgain())
        waiting.addLast(Poll(id, clock.steadyMs, respond))
    }

    /** Turns away the polls that have waited too long. */
    fun expire() {
        while (waiting.isNotEmpty() && clock.steadyMs - waiting.first().receivedAt >= ApiTuning.POLL_TIMEOUT_MS) {
            waiting.removeFirst().respond(answers.tryAgain())
        }
    }

    /** Confirms what is known of the polled jobs unless a transaction is in flight. */
    fun flush() {
        if (transactionInFlight || waiting.isEmpty() || clock.steadyMs < retryAt) return
        val batch = nextBatch()
        if (batch.polls.isEmpty()) return
        transactionInFlight = true
        state.transact(batch.conditions(), emptyList(), RequestClass.ORDINARY) { result ->
            transactionInFlight = false
            completed(batch, result)
        }
    }

    private fun nextBatch(): PollBatch {
        val batch = PollBatch(state.maxConditions)
        val heldBack = ArrayList<Poll>()
        while (waiting.isNotEmpty() && batch.hasRoom) {
            val poll = waiting.removeFirst()
            val job = jobStore.jobs[poll.id]
            val final = jobStore.finalRecord(poll.id)
            when {
                final != null -> poll.respond(answers.over(poll.id, final))

                // Cancelled through a dependency, with its final record about to be written; or too little is known of
                // its dependencies.
                job != null && !knowledge.mayReportOpen(job) -> heldBack.add(poll)

                else -> batch.add(poll, job)
            }
        }
        heldBack.asReversed().forEach(waiting::addFirst)
        return batch
    }

    private fun completed(
        batch: PollBatch,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                batch.polls.forEach(::confirmed)
            }

            is TransactionResult.Conflict -> {
                batch.polls.asReversed().forEach { conflicted(it, result.failedKeys) }
            }

            TransactionResult.Refused, TransactionResult.TooLarge, TransactionResult.LeaseExpired -> {
                batch.polls.forEach { it.respond(answers.tryAgain()) }
            }

            TransactionResult.Unknown -> {
                retryAt = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
                batch.polls.asReversed().forEach(waiting::addFirst)
            }
        }
    }

    /** [poll]'s job was open at the revision known here, or unknown to the state service, as it was compared. */
    private fun confirmed(poll: Poll) {
        val final = jobStore.finalRecord(poll.id)
        val job = jobStore.jobs[poll.id]
        when {
            final != null -> poll.respond(answers.over(poll.id, final))

            job != null && !knowledge.mayReportOpen(job) -> waiting.addFirst(poll)

            job != null -> poll.respond(answers.open(job))

            // It ended since, and its final record is not remembered here.
            poll.comparedAsOpen -> lookup.answer(poll.id, poll.respond) { poll.respond(answers.tryAgain()) }

            else -> poll.respond(answers.unknownJob())
        }
    }

    /** The conditions on the keys in [failed] did not hold: if [poll]'s job is among them it is read. */
    private fun conflicted(
        poll: Poll,
        failed: List<String>,
    ) {
        if (Keys.job(poll.id) in failed || Keys.final(poll.id) in failed) {
            lookup.answer(poll.id, poll.respond) { poll.respond(answers.unknownJob()) }
        } else {
            waiting.addFirst(poll)
        }
    }
}
