package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord
import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import ledgearch.wire.JobState

/**
 * The submitted jobs that passed all checks and wait for their durable record. Accepts them in batches, with one
 * transaction at a time, and responds to their requests.
 */
internal class SubmissionQueue(
    private val jobStore: JobStore,
    private val storeClient: StoreClient,
    private val leadership: LeadershipView,
    private val clock: Clock,
    private val admission: DependencyAdmission,
    private val lookup: JobLookup,
    private val polls: Polls,
    private val responses: JobResponses,
) {
    /** The queued submissions by job id, in the order in which they were added. */
    private val waiting = LinkedHashMap<String, Submission>()
    private var isTransactionInFlight = false

    /** Steady-clock ms before which no transaction is sent. */
    private var retryAtMs = 0L

    /** Whether the queue is full. */
    val isFull: Boolean get() = waiting.size >= ApiTuning.MAX_PENDING_REQUESTS

    /** Adds a request to the queued submission of the job [id]; returns false if there is none. */
    fun join(
        id: String,
        respond: Respond,
    ): Boolean {
        val queued = waiting[id] ?: return false
        queued.join(respond)
        return true
    }

    /** Like [join], for a request whose own body was rejected: it gets the state of the job once that is accepted. */
    fun joinAsRepeat(
        id: String,
        respond: Respond,
    ): Boolean {
        val queued = waiting[id] ?: return false
        queued.joinAsRepeat(respond)
        return true
    }

    /** Queues the job of [record], which passed all checks; another request may have had it accepted meanwhile. */
    fun add(
        record: JobRecord,
        respond: Respond,
        dependencyFinalRecords: Map<String, FinalRecord> = emptyMap(),
    ) {
        val id = record.spec.id
        if (jobStore.finalRecord(id) != null || jobStore.jobs.containsKey(id)) return polls.add(id, respond)
        if (join(id, respond)) return
        val submission = Submission(record, clock.steadyMs, dependencyFinalRecords)
        submission.join(respond)
        waiting[id] = submission
    }

    /** Rejects the submissions that have timed out. */
    fun rejectExpired() {
        val submissions = waiting.values.iterator()
        while (submissions.hasNext()) {
            val submission = submissions.next()
            if (clock.steadyMs - submission.queuedAtMs < ApiTuning.SUBMISSION_TIMEOUT_MS) continue
            submissions.remove()
            submission.respondToAll(responses.unavailable(UnavailableReason.SUBMISSION_TIMEOUT))
        }
    }

    /** Sends the next transaction, unless one is in flight or a retry must wait. */
    fun sendIfDue() {
        if (isTransactionInFlight || waiting.isEmpty() || clock.steadyMs < retryAtMs) return
        val batch = nextBatch()
        if (batch.submissions.isEmpty()) return
        isTransactionInFlight = true
        val sentAtMs = clock.steadyMs
        storeClient.transact(batch.conditions, batch.changes, RequestClass.ORDINARY) { result ->
            isTransactionInFlight = false
            onCompleted(batch, result, sentAtMs)
        }
    }

    private fun nextBatch(): SubmissionBatch {
        val batch = SubmissionBatch(leadership.condition, storeClient.maxChanges)
        for (submission in waiting.values.toList()) {
            if (!addToBatch(submission, batch)) break
        }
        return batch
    }

    /**
     * Adds [submission] to [batch] if it is admitted, rejects it if the view is too old, and skips it if undecided.
     * Returns false if the batch has no room for it.
     */
    private fun addToBatch(
        submission: Submission,
        batch: SubmissionBatch,
    ): Boolean =
        when (admission.decide(submission)) {
            Admission.OPEN -> {
                batch.add(submission, isCancelled = false)
            }

            Admission.CANCELLED -> {
                batch.add(submission, isCancelled = true)
            }

            Admission.UNDECIDED -> {
                true
            }

            Admission.STALE -> {
                reject(submission, UnavailableReason.VIEW_TOO_OLD)
                true
            }
        }

    private fun onCompleted(
        batch: SubmissionBatch,
        result: TransactionResult,
        sentAtMs: Long,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                onCommitted(batch, result.revision, sentAtMs)
            }

            is TransactionResult.Conflict -> {
                batch.submissions.forEach { onConflict(it, result.failedKeys) }
            }

            // Not executed: the requests are rejected at once with a `Retry-After`.
            TransactionResult.Refused, TransactionResult.TooLarge, TransactionResult.LeaseExpired -> {
                batch.submissions.forEach { reject(it, UnavailableReason.SUBMISSION_REFUSED) }
            }

            // The retry is harmless: if the transaction was committed, the conditions fail and the job is read.
            TransactionResult.Unknown -> {
                retryAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun onCommitted(
        batch: SubmissionBatch,
        revision: Long,
        sentAtMs: Long,
    ) {
        val condition = batch.leadershipCondition
        if (condition != null) leadership.recordConfirmation(sentAtMs, condition.modRevision)
        for (submission in batch.submissions) {
            waiting.remove(submission.id, submission)
            val isUnderLeadership = condition != null && leadership.isLeader
            if (submission in batch.cancelledSubmissions) {
                jobStore.addFinalRecord(submission.id, FinalRecord(JobState.CANCELLED))
                respondAccepted(submission, JobState.CANCELLED)
            } else {
                if (isUnderLeadership) jobStore.openAcceptedJob(submission.record, revision)
                respondAccepted(submission, JobState.PENDING)
            }
        }
    }

    private fun respondAccepted(
        submission: Submission,
        state: JobState,
    ) {
        submission.initialRequests.forEach { it(responses.accepted(submission.id, state)) }
        submission.repeatedRequests.forEach { polls.add(submission.id, it) }
    }

    /** Called when the conditions on [failedKeys] did not hold: reads the job of [submission] if it has a record. */
    private fun onConflict(
        submission: Submission,
        failedKeys: List<String>,
    ) {
        val id = submission.id
        if (Keys.job(id) !in failedKeys && Keys.final(id) !in failedKeys) return
        waiting.remove(id, submission)
        for (respond in submission.initialRequests + submission.repeatedRequests) {
            lookup.respondWithState(id, respond) {
                respond(responses.unavailable(UnavailableReason.FINAL_RECORD_MISSING))
            }
        }
    }

    private fun reject(
        submission: Submission,
        reason: UnavailableReason,
    ) {
        waiting.remove(submission.id, submission)
        submission.respondToAll(responses.unavailable(reason))
    }
}
