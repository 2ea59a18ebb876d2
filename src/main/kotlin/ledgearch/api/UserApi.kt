package ledgearch.api

import ledgearch.config.Settings
import ledgearch.http.HttpStatus
import ledgearch.http.Request
import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.store.StoreClient

/**
 * The users' interface on every node: routes each request to the class that answers it. Run by the owner alone.
 *
 * One rule holds for every answer: all that it rests on was read from the state service after the request came, or is
 * final.
 */
internal class UserApi(
    settings: Settings,
    jobStore: JobStore,
    state: StoreClient,
    leadership: LeadershipView,
    clock: Clock,
) {
    private val deployment = settings.deployment
    private val freshMs = (deployment.workers.cancelS * MS_PER_SECOND * ApiTuning.FRESHNESS_SHARE).toLong()
    private val limits = SubmissionLimits(deployment.teams.associateBy { it.name }, deployment.state.safeValueBytes)
    private val answers = JobAnswers(leadership, settings.operator.retryAfterS)
    private val knowledge = DependencyKnowledge(jobStore, clock, freshMs)
    private val lookup = JobLookup(jobStore, knowledge, answers)
    private val polls = Polls(jobStore, state, clock, knowledge, lookup, answers)
    private val admission = DependencyAdmission(jobStore, knowledge)
    private val queue = SubmissionQueue(jobStore, state, leadership, clock, admission, lookup, polls, answers)
    private val submissions = Submissions(limits, jobStore, clock, lookup, polls, answers, queue)
    private val cancellations = Cancellations(jobStore, state, clock, lookup, answers)

    /** Answers [request] by [respond], at once or when its answer is known. Each request gets exactly one answer. */
    fun handle(
        request: Request,
        respond: Respond,
    ) {
        val segments = request.path.split('/')
        when {
            request.path == JOBS_PATH -> {
                allowing(POST, request, respond) { submissions.add(request.body, respond) }
            }

            isJobPath(segments) -> {
                allowing(GET, request, respond) { polls.add(segments[JOB_ID_AT], respond) }
            }

            isCancellationPath(segments) -> {
                allowing(POST, request, respond) { cancellations.add(segments[JOB_ID_AT], respond) }
            }

            else -> {
                respond(errorResponse(HttpStatus.NOT_FOUND, "no such path"))
            }
        }
    }

    /** The job [id] is over: answers the cancellations that wait for it. */
    fun closed(id: String) = cancellations.closed(id)

    /** Turns away the requests that have waited too long, then sends the transactions that are due. */
    fun runDueWork() {
        submissions.expire()
        polls.expire()
        cancellations.expire()
        submissions.flush()
        polls.flush()
        cancellations.markOpenJobs()
    }

    private fun isJobPath(segments: List<String>) = segments.size == JOB_SEGMENTS && segments[1] == JOBS_SEGMENT

    private fun isCancellationPath(segments: List<String>) =
        segments.size == CANCELLATION_SEGMENTS && segments[1] == JOBS_SEGMENT && segments.last() == CANCEL_SEGMENT

    private fun allowing(
        method: String,
        request: Request,
        respond: Respond,
        serve: () -> Unit,
    ) {
        if (request.method == method) {
            serve()
        } else {
            respond(errorResponse(HttpStatus.METHOD_NOT_ALLOWED, "use $method"))
        }
    }

    companion object {
        private const val GET = "GET"
        private const val POST = "POST"
        private const val JOBS_SEGMENT = "work"
        private const val JOBS_PATH = "/$JOBS_SEGMENT"
        private const val CANCEL_SEGMENT = "withdraw"

        /** Segments of `/work/{id}`: the first one, before the leading slash, is empty. */
        private const val JOB_SEGMENTS = 3

        /** Segments of `/work/{id}/withdraw`. */
        private const val CANCELLATION_SEGMENTS = 4

        /** Index of the job's id among the segments. */
        private const val JOB_ID_AT = 2

        /** The kind of a user's [request] as the metrics name it. */
        fun kind(request: Request): String =
            when {
                request.method == GET -> "poll"
                request.path.endsWith("/$CANCEL_SEGMENT") -> "cancel"
                else -> "submit"
            }
    }
}
