package ledgearch.api

import ledgearch.config.Settings
import ledgearch.http.HttpStatus
import ledgearch.http.Request
import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.runtime.Metrics
import ledgearch.store.StoreClient

/**
 * The users' HTTP interface of a node: routes each request to its handler. Only the owner thread may use it.
 *
 * A response states that a job is open or does not exist only if records confirm this that were read or compared in the
 * state service after the request arrived; a final record is permanent. [DependencyFreshness] sets the rules for jobs
 * with unfinished dependencies.
 */
internal class UserApi(
    settings: Settings,
    jobStore: JobStore,
    storeClient: StoreClient,
    leadership: LeadershipView,
    clock: Clock,
    metrics: Metrics,
) {
    private val deployment = settings.deployment
    private val maxViewAgeMs = (deployment.workers.maxCancelS * MS_PER_SECOND * ApiTuning.MAX_VIEW_AGE_SHARE).toLong()
    private val limits = SubmissionLimits(deployment.teams.associateBy { it.name }, deployment.state.safeValueBytes)
    private val responses = JobResponses(leadership, settings.operator.retryAfterS, metrics)
    private val freshness = DependencyFreshness(jobStore, clock, maxViewAgeMs)
    private val lookup = JobLookup(jobStore, responses)
    private val polls = Polls(jobStore, storeClient, clock, freshness, lookup, responses)
    private val admission = DependencyAdmission(jobStore, freshness)
    private val queue = SubmissionQueue(jobStore, storeClient, leadership, clock, admission, lookup, polls, responses)
    private val submissions = Submissions(limits, jobStore, clock, lookup, polls, responses, queue)
    private val cancellations = Cancellations(jobStore, storeClient, clock, lookup, responses)

    /** Handles [request]; calls [respond] exactly once, at once or later, when the response is known. */
    fun handle(
        request: Request,
        respond: Respond,
    ) {
        val segments = request.path.split('/')
        when {
            request.path == JOBS_PATH -> {
                ifMethodIs(POST, request, respond) { submissions.add(request.body, respond) }
            }

            isJobPath(segments) -> {
                ifMethodIs(GET, request, respond) { polls.add(segments[JOB_ID_INDEX], respond) }
            }

            isCancellationPath(segments) -> {
                ifMethodIs(POST, request, respond) { cancellations.add(segments[JOB_ID_INDEX], respond) }
            }

            else -> {
                respond(errorResponse(HttpStatus.NOT_FOUND, "no such path"))
            }
        }
    }

    /** Number of polls that wait for their confirmation. */
    val waitingPollCount: Int get() = polls.waitingCount

    /** Age in ms of the oldest poll that waits for its confirmation; 0 if there is none. */
    val oldestPollMs: Long get() = polls.oldestWaitingMs

    /** The job polled here without an answer for the longest time, or null. */
    val longestUnanswered: LongestUnanswered? get() = polls.unanswered.longest()

    /** Age in ms of the oldest request to cancel a job that is not durable yet; 0 if there is none. */
    val oldestCancelRequestMs: Long get() = cancellations.oldestUnwrittenMs

    /** Called when the job [id] has ended. */
    fun onJobClosed(id: String) = cancellations.onJobClosed(id)

    /** Rejects the requests that have timed out, then sends the transactions that are due. */
    fun runDueWork() {
        submissions.rejectExpired()
        polls.rejectExpired()
        cancellations.rejectExpired()
        submissions.sendIfDue()
        polls.sendIfDue()
        cancellations.writeCancelRequests()
    }

    private fun isJobPath(segments: List<String>) = segments.size == JOB_SEGMENT_COUNT && segments[1] == JOBS_SEGMENT

    private fun isCancellationPath(segments: List<String>) =
        segments.size == CANCELLATION_SEGMENT_COUNT && segments[1] == JOBS_SEGMENT && segments.last() == CANCEL_SEGMENT

    private fun ifMethodIs(
        method: String,
        request: Request,
        respond: Respond,
        action: () -> Unit,
    ) {
        if (request.method == method) {
            action()
        } else {
            respond(errorResponse(HttpStatus.METHOD_NOT_ALLOWED, "method not allowed, use $method"))
        }
    }

    companion object {
        private const val GET = "GET"
        private const val POST = "POST"
        private const val JOBS_SEGMENT = "work"
        private const val JOBS_PATH = "/$JOBS_SEGMENT"
        private const val CANCEL_SEGMENT = "withdraw"

        /** Number of segments of `/work/{id}`; the first one, before the leading slash, is empty. */
        private const val JOB_SEGMENT_COUNT = 3

        /** Number of segments of `/work/{id}/withdraw`. */
        private const val CANCELLATION_SEGMENT_COUNT = 4

        private const val JOB_ID_INDEX = 2

        /** Returns the name of the kind of [request] in the metrics. */
        fun requestKind(request: Request): String =
            when {
                request.method == GET -> "poll"
                request.path.endsWith("/$CANCEL_SEGMENT") -> "cancel"
                else -> "submit"
            }
    }
}
