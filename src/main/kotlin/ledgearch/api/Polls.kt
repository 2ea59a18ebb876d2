package ledgearch.api

import ledgearch.http.Response
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult

/**
 * Handles polls for the state of jobs. A poll for a job that has not ended gets a response only after a request that
 * was sent after the poll arrived has confirmed this node's view of the job: a transaction that compares the revisions
 * of many polled jobs, or a watch, which confirms all open jobs.
 */
internal class Polls(
    private val jobStore: JobStore,
    private val storeClient: StoreClient,
    private val clock: Clock,
    private val freshness: DependencyFreshness,
    private val lookup: JobLookup,
    private val responses: JobResponses,
) {
    /** The jobs whose polls fail at this node. */
    val unanswered = UnansweredPolls(clock)
    private val waiting = ArrayDeque<Poll>()
    private var isTransactionInFlight = false

    /** Steady-clock ms before which no transaction is sent. */
    private var retryAtMs = 0L

    /** Number of polls that wait for a transaction. */
    val waitingCount: Int get() = waiting.size

    /** Age in ms of the oldest poll that waits for a transaction; 0 if there is none. */
    val oldestWaitingMs: Long get() = waiting.firstOrNull()?.let { clock.steadyMs - it.receivedAtMs } ?: 0

    /** Adds a poll for the state of the job [id]. */
    fun add(
        id: String,
        respond: Respond,
    ) {
        if (!Validation.isJobId(id)) return respond(responses.jobNotFound())
        val respondAndRecord = unanswered.recording(id, respond)
        endedResponse(id)?.let { return respondAndRecord(it) }
        if (waiting.size >= ApiTuning.MAX_PENDING_REQUESTS) {
            return respondAndRecord(responses.unavailable(UnavailableReason.POLL_QUEUE_FULL))
        }
        waiting.addLast(Poll(id, clock.steadyMs, respondAndRecord))
        jobStore.jobs[id]?.let(jobStore.dependencies::readSoon)
    }

    /** Rejects the polls that have timed out. */
    fun rejectExpired() {
        while (waiting.isNotEmpty() && clock.steadyMs - waiting.first().receivedAtMs >= ApiTuning.POLL_TIMEOUT_MS) {
            val poll = waiting.removeFirst()
            poll.respond(endedResponse(poll.id) ?: responses.unavailable(timeoutReason(poll)))
        }
        unanswered.runDueWork()
    }

    /** Returns why [poll] was not answered in time. */
    private fun timeoutReason(poll: Poll) =
        jobStore.jobs[poll.id]?.let(freshness::obstacleTo) ?: UnavailableReason.POLL_TIMEOUT

    /**
     * Responds to the polls that this node's view confirms, then sends a transaction that compares the other polled
     * jobs, unless one is in flight or a retry must wait.
     */
    fun sendIfDue() {
        respondFromView()
        if (waiting.size > storeClient.maxConditions) jobStore.refreshSoon()
        if (isTransactionInFlight || waiting.isEmpty() || clock.steadyMs < retryAtMs) return
        val batch = nextBatch()
        if (batch.polls.isEmpty()) return
        isTransactionInFlight = true
        storeClient.transact(batch.conditions(), emptyList(), RequestClass.ORDINARY) { result ->
            isTransactionInFlight = false
            onCompleted(batch, result)
        }
    }

    /**
     * Responds to the polls for open jobs that arrived before the request was sent that brought this node's view up to
     * date.
     */
    private fun respondFromView() {
        if (!jobStore.isLoaded) return
        val polls = waiting.iterator()
        while (polls.hasNext()) {
            val poll = polls.next()
            if (poll.receivedAtMs >= jobStore.completeAsOfMs) return
            val response = endedResponse(poll.id) ?: openResponse(poll.id) ?: continue
            polls.remove()
            poll.respond(response)
        }
    }

    /** Returns the response if the job [id] may be reported as open, or null. */
    private fun openResponse(id: String): Response? =
        jobStore.jobs[id]?.takeIf(freshness::mayReportOpen)?.let(responses::open)

    private fun nextBatch(): PollBatch {
        val batch = PollBatch(storeClient.maxConditions)
        val deferred = ArrayList<Poll>()
        while (waiting.isNotEmpty() && batch.hasRoom) {
            val poll = waiting.removeFirst()
            val job = jobStore.jobs[poll.id]
            val endedResponse = endedResponse(poll.id)
            when {
                endedResponse != null -> poll.respond(endedResponse)
                job == null -> batch.addUnknown(poll)
                !addOpen(poll, job, batch) -> deferred.add(poll)
            }
        }
        deferred.asReversed().forEach(waiting::addFirst)
        return batch
    }

    /** Returns the response if the job [id] is known to have ended or to end without ever running, or null. */
    private fun endedResponse(id: String): Response? =
        jobStore.finalRecord(id)?.let { responses.ended(id, it) }
            ?: jobStore.jobs[id]?.takeIf { it.hasCancelledDependency }?.let { responses.cancelledWithDependency(id) }

    /**
     * Adds [poll] for the open [job] to [batch]; returns false if this node's view of the dependencies is incomplete or
     * too old, or if the batch has no room for their conditions. The poll then waits for the view.
     */
    private fun addOpen(
        poll: Poll,
        job: Job,
        batch: PollBatch,
    ): Boolean {
        if (!freshness.mayReportOpen(job)) return false
        val openDependencies = jobStore.dependencies.unfinishedDependencies(job).mapNotNull(jobStore.jobs::get)
        if (!poll.waitsForView && batch.addOpen(poll, job, openDependencies)) return true
        if (poll.waitsForView) jobStore.refreshSoon()
        return false
    }

    private fun onCompleted(
        batch: PollBatch,
        result: TransactionResult,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                batch.polls.forEach(::onConfirmed)
            }

            is TransactionResult.Conflict -> {
                batch.polls.asReversed().forEach { onConflict(it, result.failedKeys) }
            }

            TransactionResult.Refused, TransactionResult.TooLarge, TransactionResult.LeaseExpired -> {
                batch.polls.forEach { it.respond(responses.unavailable(UnavailableReason.POLL_REFUSED)) }
            }

            TransactionResult.Unknown -> {
                retryAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
                batch.polls.asReversed().forEach(waiting::addFirst)
            }
        }
    }

    /** Called when the transaction has confirmed this node's view of the job of [poll]: open, or never accepted. */
    private fun onConfirmed(poll: Poll) {
        val endedResponse = endedResponse(poll.id)
        val job = jobStore.jobs[poll.id]
        when {
            endedResponse != null -> {
                poll.respond(endedResponse)
            }

            job != null && !freshness.mayReportOpen(job) -> {
                waiting.addFirst(poll)
            }

            job != null -> {
                poll.respond(responses.open(job))
            }

            // The job has ended since, and this node has not cached its final record.
            poll.expectsOpen -> {
                lookup.respondWithState(poll.id, poll.respond) {
                    poll.respond(responses.unavailable(UnavailableReason.FINAL_RECORD_MISSING))
                }
            }

            else -> {
                poll.respond(responses.jobNotFound())
            }
        }
    }

    /** Called when the conditions on [failedKeys] did not hold: reads the job of [poll] if it is among them. */
    private fun onConflict(
        poll: Poll,
        failedKeys: List<String>,
    ) {
        if (Keys.final(poll.id) in failedKeys) {
            lookup.respondWithFinalState(poll.id, poll.respond)
        } else if (Keys.job(poll.id) in failedKeys) {
            lookup.respondWithState(poll.id, poll.respond) { poll.respond(responses.jobNotFound()) }
        } else {
            if (poll.dependencyKeys.any { it in failedKeys }) poll.waitsForView = true
            waiting.addFirst(poll)
        }
    }
}
