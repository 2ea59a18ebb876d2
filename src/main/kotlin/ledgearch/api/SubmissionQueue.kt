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
 * The admitted jobs that wait to be accepted. Accepts them in batches, by one transaction at a time, and answers the
 * requests for them.
 */
internal class SubmissionQueue(
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val leadership: LeadershipView,
    private val clock: Clock,
    private val admission: DependencyAdmission,
    private val lookup: JobLookup,
    private val polls: Polls,
    private val answers: JobAnswers,
) {
    /** By job, in the order in which they came. */
    private val waiting = LinkedHashMap<String, Submission>()
    private var transactionInFlight = false

    /** Steady ms before which no transaction is sent. */
    private var retryAt = 0L

    /** No further job can be queued. */
    val isFull: Boolean get() = waiting.size >= ApiTuning.REQUEST_BACKLOG

    /** Joins the submission of the job [id] that is under way; false when there is none. */
    fun join(
        id: String,
        respond: Respond,
    ): Boolean {
        val underWay = waiting[id] ?: return false
        underWay.join(respond)
        return true
    }

    /** Like [join], for a request whose own body was refused: it gets the job's state after its acceptance. */
    fun joinAsRepeat(
        id: String,
        respond: Respond,
    ): Boolean {
        val underWay = waiting[id] ?: return false
        underWay.joinAsRepeat(respond)
        return true
    }

    /** Queues the job of [record], which passed all checks; it may have become known while they were made. */
    fun add(
        record: JobRecord,
        respond: Respond,
        endedDependencies: Map<String, FinalRecord> = emptyMap(),
    ) {
        val id = record.spec.id
        if (jobStore.finalRecord(id) != null || jobStore.jobs.containsKey(id)) return polls.add(id, respond)
        if (join(id, respond)) return
        val submission = Submission(record, clock.steadyMs, endedDependencies)
        submission.join(respond)
        waiting[id] = submission
    }

    /** Turns away the submissions that have waited too long. */
    fun expire() {
        val submissions = waiting.values.iterator()
        while (submissions.hasNext()) {
            val submission = submissions.next()
            if (clock.steadyMs - submission.queuedAt < ApiTuning.SUBMISSION_TIMEOUT_MS) continue
            submissions.remove()
            submission.answer(answers.tryAgain())
        }
    }

    /** Sends the next transaction unless one is in flight or the pause after an unknown result lasts. */
    fun flush() {
        if (transactionInFlight || waiting.isEmpty() || clock.steadyMs < retryAt) return
        val batch = nextBatch()
        if (batch.submissions.isEmpty()) return
        transactionInFlight = true
        val sentAt = clock.steadyMs
        state.transact(batch.conditions, batch.changes, RequestClass.ORDINARY) { result ->
            transactionInFlight = false
            completed(batch, result, sentAt)
        }
    }

    private fun nextBatch(): SubmissionBatch {
        val batch = SubmissionBatch(leadership.condition.takeIf { leadership.isLeader }, state.maxChanges)
        for (submission in waiting.values.toList()) {
            if (!offer(submission, batch)) break
        }
        return batch
    }

    /** False when [batch] has no room for [submission]; one that can't be decided yet is passed over. */
    private fun offer(
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
                turnAway(submission)
                true
            }
        }

    private fun completed(
        batch: SubmissionBatch,
        result: TransactionResult,
        sentAt: Long,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                committed(batch, result.revision, sentAt)
            }

            is TransactionResult.Conflict -> {
                batch.submissions.forEach { conflicted(it, result.failedKeys) }
            }

            // Not executed: the users are turned away at once, with the time to come back.
            TransactionResult.Refused, TransactionResult.TooLarge, TransactionResult.LeaseExpired -> {
                batch.submissions.forEach(::turnAway)
            }

            // A repeat is harmless: if the first was committed, its condition fails and the job is found.
            TransactionResult.Unknown -> {
                retryAt = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun committed(
        batch: SubmissionBatch,
        revision: Long,
        sentAt: Long,
    ) {
        val condition = batch.leadershipCondition
        if (condition != null) leadership.leadershipConfirmed(sentAt, condition.modRevision)
        for (submission in batch.submissions) {
            waiting.remove(submission.id, submission)
            val isUnderLeadership = condition != null && leadership.isLeader
            if (submission in batch.cancelled) {
                jobStore.addFinalRecord(submission.id, FinalRecord(JobState.CANCELLED))
                accepted(submission, JobState.CANCELLED)
            } else {
                if (isUnderLeadership) jobStore.openAcceptedJob(submission.record, revision)
                accepted(submission, JobState.PENDING)
            }
        }
    }

    private fun accepted(
        submission: Submission,
        state: JobState,
    ) {
        submission.initialRequests.forEach { it(answers.accepted(submission.id, state)) }
        submission.repeatedRequests.forEach { polls.add(submission.id, it) }
    }

    /** Conditions on the keys in [failed] did not hold: if [submission]'s job has a record already, it is read. */
    private fun conflicted(
        submission: Submission,
        failed: List<String>,
    ) {
        val id = submission.id
        if (Keys.job(id) !in failed && Keys.final(id) !in failed) return
        waiting.remove(id, submission)
        for (respond in submission.initialRequests + submission.repeatedRequests) {
            lookup.answer(id, respond) { respond(answers.tryAgain()) }
        }
    }

    private fun turnAway(submission: Submission) {
        waiting.remove(submission.id, submission)
        submission.answer(answers.tryAgain())
    }
}
