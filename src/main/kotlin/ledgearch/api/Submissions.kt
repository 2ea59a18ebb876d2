package ledgearch.api

import ledgearch.config.Team
import ledgearch.http.HttpStatus
import ledgearch.jobs.JobStore
import ledgearch.records.JobRecord
import ledgearch.runtime.Clock
import ledgearch.wire.JobSpec
import ledgearch.wire.WireJson

/** What bounds a submission, from the settings: the [teams] by name, and the size of a record ([valueBytes]). */
internal class SubmissionLimits(
    val teams: Map<String, Team>,
    val valueBytes: Int,
)

/**
 * Checks submitted jobs and answers the requests, or passes admissible jobs to the [queue].
 *
 * A job accepted earlier stays accepted, whatever its body or the catalog says now: a job is refused only when it was
 * never accepted.
 */
internal class Submissions(
    private val limits: SubmissionLimits,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val lookup: JobLookup,
    private val polls: Polls,
    private val answers: JobAnswers,
    private val queue: SubmissionQueue,
) {
    private val dependencyCheck = DependencyCheck(jobStore)

    /** A user submits a job: [body] is the request's. */
    fun add(
        body: String,
        respond: Respond,
    ) {
        val submitted =
            try {
                SubmittedJob.read(body)
            } catch (malformed: MalformedSubmission) {
                return respond(errorResponse(HttpStatus.BAD_REQUEST, malformed.message.orEmpty()))
            }
        val id = submitted.id
        jobStore.finalRecord(id)?.let { return respond(answers.over(id, it)) }
        if (jobStore.jobs.containsKey(id)) return polls.add(id, respond)
        val spec =
            try {
                submitted.request()
            } catch (malformed: MalformedSubmission) {
                return refuse(id, HttpStatus.BAD_REQUEST, malformed.message.orEmpty(), respond)
            }
        check(JobRecord(spec, clock.wallMs), respond)
    }

    /** Turns away the submissions that have waited too long. */
    fun expire() = queue.expire()

    /** Sends the next transaction that accepts jobs, if one is due. */
    fun flush() = queue.flush()

    private fun check(
        record: JobRecord,
        respond: Respond,
    ) {
        val spec = record.spec
        val id = spec.id
        if (!fitsOneValue(record)) return refuse(id, HttpStatus.BAD_REQUEST, "too large", respond)
        if (queue.join(id, respond)) return
        // Without a catalog nothing can be decided yet.
        if (jobStore.machineTypes.isEmpty() || queue.isFull) return respond(answers.tryAgain())
        val infeasibility = infeasibilityOf(spec)
        when {
            infeasibility != null -> refuse(id, HttpStatus.UNPROCESSABLE, infeasibility.text, respond)
            spec.dependsOn == null -> queue.add(record, respond)
            else -> checkDependencies(record, spec.dependsOn, respond)
        }
    }

    /** Whether the record fits into one value of the state service, also with the mark of a cancellation. */
    private fun fitsOneValue(record: JobRecord): Boolean {
        val marked = record.copy(cancelRequested = true)
        val encoded = WireJson.encodeToString(JobRecord.serializer(), marked).encodeToByteArray()
        return encoded.size <= limits.valueBytes
    }

    private fun infeasibilityOf(spec: JobSpec) =
        Validation.infeasibility(spec, limits.teams[spec.team], jobStore.machineTypes.values)

    private fun checkDependencies(
        record: JobRecord,
        dependencies: List<String>,
        respond: Respond,
    ) {
        if (lookup.isFull) return respond(answers.tryAgain())
        dependencyCheck.check(dependencies, lookup.counted { dependenciesChecked(record, it, respond) })
    }

    private fun dependenciesChecked(
        record: JobRecord,
        result: DependencyCheckResult,
        respond: Respond,
    ) {
        val reason =
            when (result) {
                is DependencyCheckResult.AllAccepted -> return queue.add(record, respond, result.ended)
                is DependencyCheckResult.NeverAccepted -> "${result.job} was never accepted"
                is DependencyCheckResult.IsService -> "${result.job} is a service and never done"
                DependencyCheckResult.Unknown -> return respond(answers.tryAgain())
            }
        val error = "${SubmissionField.DEPENDS_ON}: $reason"
        refuse(record.spec.id, HttpStatus.UNPROCESSABLE, error, respond)
    }

    /** Answers with [status] and [reason] unless the job [id] is being accepted or was accepted before. */
    private fun refuse(
        id: String,
        status: Int,
        reason: String,
        respond: Respond,
    ) {
        if (queue.joinAsRepeat(id, respond)) return
        lookup.answer(id, respond) { respond(errorResponse(status, reason)) }
    }
}
