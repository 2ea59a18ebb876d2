package ledgearch.api

import ledgearch.config.Team
import ledgearch.http.HttpStatus
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
import ledgearch.wire.WireJson

/** What bounds a submission, from the settings. */
internal class SubmissionLimits(
    val teams: Map<String, Team>,
    val valueBytes: Int,
)

/** Submissions of jobs: checks them, accepts them in batches of one transaction at a time and answers. */
internal class Submissions(
    private val limits: SubmissionLimits,
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val leadership: LeadershipView,
    private val clock: Clock,
    private val dependencies: DependencyKnowledge,
    private val lookup: JobLookup,
    private val polls: Polls,
    private val answers: JobAnswers,
) {
    private val dependencyCheck = DependencyCheck(jobStore)
    private val waiting = LinkedHashMap<String, Submission>()
    private var submitting = false
    private var retryAt = 0L

    /** A user submits a job. */
    fun add(
        body: String,
        respond: Respond,
    ) {
        val submitted =
            try {
                SubmittedJob.read(body)
            } catch (e: MalformedSubmission) {
                return respond(errorResponse(HttpStatus.BAD_REQUEST, e.message.orEmpty()))
            }
        val id = submitted.id
        jobStore.final(id)?.let { return respond(answers.over(id, it)) }
        if (jobStore.jobs.containsKey(id)) return polls.add(id, respond)
        val spec =
            try {
                submitted.request()
            } catch (e: MalformedSubmission) {
                return refuse(id, HttpStatus.BAD_REQUEST, e.message.orEmpty(), respond)
            }
        check(JobRecord(spec, clock.wallMs), respond)
    }

    /** Turns away those that have waited too long. */
    fun expire() {
        val late = waiting.values.iterator()
        while (late.hasNext()) {
            val submission = late.next()
            if (clock.steadyMs - submission.since < ApiTuning.SUBMIT_MS) continue
            late.remove()
            submission.answer(answers.tryAgain())
        }
    }

    /** Sends the next transaction unless one is under way. */
    fun flush() {
        if (submitting || waiting.isEmpty() || clock.steadyMs < retryAt) return
        val batch = nextBatch()
        if (batch.submissions.isEmpty()) return
        submitting = true
        val sentAt = clock.steadyMs
        state.transact(batch.conditions, batch.changes, RequestClass.ORDINARY) { result ->
            submitting = false
            answered(batch, result, sentAt)
        }
    }

    // --- Checks -------------------------------------------------------------------------------------------------

    private fun check(
        record: JobRecord,
        respond: Respond,
    ) {
        val spec = record.spec
        val id = spec.id
        if (bytes(record.copy(cancelRequested = true)) > limits.valueBytes) {
            return refuse(id, HttpStatus.BAD_REQUEST, "too large", respond)
        }
        if (joined(id, respond)) return
        if (jobStore.machineTypes.isEmpty() ||
            waiting.size >= ApiTuning.INTAKE_BACKLOG
        ) {
            return respond(answers.tryAgain())
        }
        val impossible = Validation.impossible(spec, limits.teams[spec.team], jobStore.machineTypes.values)
        when {
            impossible != null -> refuse(id, HttpStatus.UNPROCESSABLE, impossible, respond)
            spec.dependsOn == null -> accept(record, respond)
            else -> checkDependencies(record, spec.dependsOn, respond)
        }
    }

    /** The same submission is under way: its answer is this one's too. */
    private fun joined(
        id: String,
        respond: Respond,
    ): Boolean {
        val underWay = waiting[id] ?: return false
        underWay.join(respond)
        return true
    }

    private fun checkDependencies(
        record: JobRecord,
        awaited: List<String>,
        respond: Respond,
    ) {
        if (lookup.isFull) return respond(answers.tryAgain())
        dependencyCheck.check(awaited, lookup.counted { dependenciesChecked(record, it, respond) })
    }

    private fun dependenciesChecked(
        record: JobRecord,
        result: DependencyCheckResult,
        respond: Respond,
    ) {
        val why =
            when (result) {
                is DependencyCheckResult.AllAccepted -> return accept(record, respond, result.ended)
                is DependencyCheckResult.NeverAccepted -> "awaits: ${result.job} was never accepted"
                is DependencyCheckResult.IsService -> "awaits: ${result.job} is a service and never done"
                DependencyCheckResult.Unknown -> return respond(answers.tryAgain())
            }
        refuse(record.spec.id, HttpStatus.UNPROCESSABLE, why, respond)
    }

    /** [record] is fit to be accepted; it may have become known since it came. */
    private fun accept(
        record: JobRecord,
        respond: Respond,
        endedDependencies: Map<String, FinalRecord> = emptyMap(),
    ) {
        val id = record.spec.id
        if (jobStore.final(id) != null || jobStore.jobs.containsKey(id)) return polls.add(id, respond)
        if (joined(id, respond)) return
        val submission = Submission(record, clock.steadyMs, endedDependencies)
        submission.join(respond)
        waiting[id] = submission
    }

    /**
     * A job accepted earlier stays accepted, whatever its body or the catalog says now: only one never accepted is
     * refused.
     */
    private fun refuse(
        id: String,
        status: Int,
        why: String,
        respond: Respond,
    ) {
        val underWay = waiting[id]
        if (underWay != null) {
            underWay.late.add(respond)
        } else {
            lookup.answer(id, respond) { respond(errorResponse(status, why)) }
        }
    }

    // --- Batches ------------------------------------------------------------------------------------------------

    private fun nextBatch(): SubmissionBatch {
        val batch = SubmissionBatch(leadership.condition.takeIf { leadership.isLeader }, state.maxChanges)
        for (submission in waiting.values.toList()) {
            if (!add(submission, batch)) break
        }
        return batch
    }

    /** False when [batch] has no room for [submission]; one that can't be decided yet is passed over. */
    private fun add(
        submission: Submission,
        batch: SubmissionBatch,
    ): Boolean {
        val unfinished = unfinishedDependencies(submission)
        if (unfinished.isNotEmpty() && !dependencies.isFresh) {
            turnAway(submission)
            return true
        }
        val isCancelled = unfinished.any { isCancelled(it, submission) }
        // It waits for what is being read: one of those that they depend on may have been cancelled long ago.
        if (!isCancelled && !unfinished.all(jobStore.dependencies::isKnown)) return true
        return batch.add(submission, isCancelled)
    }

    private fun unfinishedDependencies(submission: Submission): List<String> {
        val awaited = submission.record.spec.dependsOn
        return awaited.orEmpty().filter { finalOf(it, submission)?.state != JobState.DONE }
    }

    /** [id] is not done; where it is over all the same it was cancelled. */
    private fun isCancelled(
        id: String,
        submission: Submission,
    ) = finalOf(id, submission) != null || jobStore.jobs[id]?.dependencyCancelled == true

    private fun finalOf(
        id: String,
        submission: Submission,
    ): FinalRecord? = submission.endedDependencies[id] ?: jobStore.final(id)

    private fun answered(
        batch: SubmissionBatch,
        result: TransactionResult,
        sentAt: Long,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                executed(batch, result.revision, sentAt)
            }

            is TransactionResult.Conflict -> {
                batch.submissions.forEach { conflicted(it, result.failed) }
            }

            // Not taken: the users are told at once, and when to come back.
            TransactionResult.Refused, TransactionResult.TooLarge, TransactionResult.LeaseExpired -> {
                batch.submissions.forEach(::turnAway)
            }

            // A repeat is harmless: if the first was executed, the condition fails and the job is found.
            TransactionResult.Unknown -> {
                retryAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
            }
        }
    }

    private fun executed(
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
                jobStore.rememberFinal(submission.id, FinalRecord(JobState.CANCELLED))
                accepted(submission, JobState.CANCELLED)
            } else {
                if (isUnderLeadership) jobStore.acceptUnderLeadership(submission.record, revision)
                accepted(submission, JobState.PENDING)
            }
        }
    }

    private fun accepted(
        submission: Submission,
        state: JobState,
    ) {
        submission.first.forEach { it(answers.accepted(submission.id, state)) }
        submission.late.forEach { polls.add(submission.id, it) }
    }

    private fun conflicted(
        submission: Submission,
        failed: List<String>,
    ) {
        val id = submission.id
        if (Keys.job(id) !in failed && Keys.final(id) !in failed) return
        waiting.remove(id, submission)
        for (respond in submission.first + submission.late) {
            lookup.answer(id, respond) { respond(answers.tryAgain()) }
        }
    }

    private fun turnAway(submission: Submission) {
        waiting.remove(submission.id, submission)
        submission.answer(answers.tryAgain())
    }

    private fun bytes(record: JobRecord) =
        WireJson.encodeToString(JobRecord.serializer(), record).encodeToByteArray().size
}
