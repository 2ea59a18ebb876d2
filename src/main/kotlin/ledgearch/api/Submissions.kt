package ledgearch.api

import ledgearch.config.Team
import ledgearch.http.HttpStatus
import ledgearch.jobs.JobStore
import ledgearch.records.JobRecord
import ledgearch.runtime.Clock
import ledgearch.wire.JobSpec
import ledgearch.wire.WireJson

/** Limits for submissions from the settings: the [teams] by name and the maximum size of a record. */
internal class SubmissionLimits(
    val teams: Map<String, Team>,
    val maxValueBytes: Int,
)

/**
 * Checks submitted jobs; rejects those that are invalid and passes the others to the [queue].
 *
 * A job that was accepted earlier stays accepted, even if the body of a repeated request is invalid or the catalog has
 * changed: only a job that was never accepted is rejected.
 */
internal class Submissions(
    private val limits: SubmissionLimits,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val lookup: JobLookup,
    private val polls: Polls,
    private val responses: JobResponses,
    private val queue: SubmissionQueue,
) {
    private val dependencyCheck = DependencyCheck(jobStore)

    /** Handles a submission with this request [body]. */
    fun add(
        body: String,
        respond: Respond,
    ) {
        val submitted =
            try {
                SubmittedJob.parse(body)
            } catch (malformed: MalformedSubmissionException) {
                return respond(errorResponse(HttpStatus.BAD_REQUEST, malformed.message.orEmpty()))
            }
        val id = submitted.id
        jobStore.finalRecord(id)?.let { return respond(responses.ended(id, it)) }
        if (jobStore.jobs.containsKey(id)) return polls.add(id, respond)
        val spec =
            try {
                submitted.toJobSpec()
            } catch (malformed: MalformedSubmissionException) {
                return rejectUnlessAccepted(id, HttpStatus.BAD_REQUEST, malformed.message.orEmpty(), respond)
            }
        validate(JobRecord(spec, clock.wallMs), respond)
    }

    /** Rejects the submissions that have timed out. */
    fun rejectExpired() = queue.rejectExpired()

    /** Sends the next transaction that accepts jobs, if one is due. */
    fun sendIfDue() = queue.sendIfDue()

    private fun validate(
        record: JobRecord,
        respond: Respond,
    ) {
        val spec = record.spec
        val id = spec.id
        if (!fitsInOneValue(record)) {
            return rejectUnlessAccepted(
                id,
                HttpStatus.BAD_REQUEST,
                "the job record is larger than ${limits.maxValueBytes} bytes",
                respond,
            )
        }
        if (queue.join(id, respond)) return
        // Without a catalog the feasibility can't be checked.
        if (jobStore.machineTypes.isEmpty()) {
            return respond(responses.unavailable(UnavailableReason.NO_MACHINE_TYPES))
        }
        if (queue.isFull) return respond(responses.unavailable(UnavailableReason.SUBMISSION_QUEUE_FULL))
        val infeasibility = infeasibilityOf(spec)
        when {
            infeasibility != null -> rejectUnlessAccepted(id, HttpStatus.UNPROCESSABLE, infeasibility.text, respond)
            spec.dependsOn == null -> queue.add(record, respond)
            else -> checkDependencies(record, spec.dependsOn, respond)
        }
    }

    /** Returns whether [record] fits into one value of the state service, even once `cancelRequested` is set. */
    private fun fitsInOneValue(record: JobRecord): Boolean {
        val cancelledRecord = record.copy(cancelRequested = true)
        val encoded = WireJson.encodeToString(JobRecord.serializer(), cancelledRecord).encodeToByteArray()
        return encoded.size <= limits.maxValueBytes
    }

    private fun infeasibilityOf(spec: JobSpec) =
        Validation.infeasibility(spec, limits.teams[spec.team], jobStore.machineTypes.values)

    private fun checkDependencies(
        record: JobRecord,
        dependencies: List<String>,
        respond: Respond,
    ) {
        if (lookup.isFull) return respond(responses.unavailable(UnavailableReason.LOOKUPS_FULL))
        dependencyCheck.check(dependencies, lookup.countInFlight { onDependenciesChecked(record, it, respond) })
    }

    private fun onDependenciesChecked(
        record: JobRecord,
        result: DependencyCheckResult,
        respond: Respond,
    ) {
        val reason =
            when (result) {
                is DependencyCheckResult.AllAccepted -> {
                    return queue.add(record, respond, result.finalRecords)
                }

                is DependencyCheckResult.NeverAccepted -> {
                    "${result.id} was never accepted"
                }

                is DependencyCheckResult.IsService -> {
                    "${result.id} is a service, which is never done"
                }

                DependencyCheckResult.Unknown -> {
                    return respond(responses.unavailable(UnavailableReason.LOOKUP_FAILED))
                }
            }
        val error = "${SubmissionField.DEPENDS_ON}: $reason"
        rejectUnlessAccepted(record.spec.id, HttpStatus.UNPROCESSABLE, error, respond)
    }

    /** Responds with [status] and [reason] unless the job [id] is queued or was accepted before. */
    private fun rejectUnlessAccepted(
        id: String,
        status: Int,
        reason: String,
        respond: Respond,
    ) {
        if (queue.joinAsRepeat(id, respond)) return
        lookup.respondWithState(id, respond) { respond(errorResponse(status, reason)) }
    }
}
