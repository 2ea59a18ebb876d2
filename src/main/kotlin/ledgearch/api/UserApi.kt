package ledgearch.api

import ledgearch.config.Settings
import ledgearch.http.HttpStatus
import ledgearch.http.Request
import ledgearch.jobs.JobStore
import ledgearch.runtime.Clock
import ledgearch.store.StoreClient
import ledgearch.wire.Condition

/** The grant as far as intake needs it: the leader's submissions are accepted under its own grant. */
internal interface LeadershipView {
    val isLeader: Boolean
    val condition: Condition

    fun leadershipConfirmed(
        sentAt: Long,
        under: Long,
    )
}

/**
 * The users' side, on every node; it routes the requests to those who answer them. One rule holds for every answer: all
 * it rests on was read from the state service after the question came, or is final.
 */
internal class UserApi(
    settings: Settings,
    jobStore: JobStore,
    state: StoreClient,
    leadership: LeadershipView,
    clock: Clock,
) {
    private val deployment = settings.deployment
    private val freshMs = (deployment.workers.cancelS * 1000 * ApiTuning.FRESH_SHARE).toLong()
    private val limits = SubmissionLimits(deployment.teams.associateBy { it.name }, deployment.state.safeValueBytes)
    private val answers = JobAnswers(leadership, settings.operator.retryAfterS)
    private val dependencies = DependencyKnowledge(jobStore, clock, freshMs)
    private val lookup = JobLookup(jobStore, dependencies, answers)
    private val polls = Polls(jobStore, state, clock, dependencies, lookup, answers)
    private val submissions =
        Submissions(limits, jobStore, state, leadership, clock, dependencies, lookup, polls, answers)
    private val cancellations = Cancellations(jobStore, state, clock, lookup, answers)

    /** Answers [request] by [respond], at once or when its answer is known. */
    fun handle(
        request: Request,
        respond: Respond,
    ) {
        val parts = request.path.split('/')
        when {
            request.path == "/work" -> {
                only("POST", request, respond) { submissions.add(request.body, respond) }
            }

            parts.size == 3 && parts[1] == "work" -> {
                only("GET", request, respond) { polls.add(parts[2], respond) }
            }

            parts.size == 4 && parts[1] == "work" && parts[3] == "withdraw" -> {
                only("POST", request, respond) { cancellations.add(parts[2], respond) }
            }

            else -> {
                respond(errorResponse(HttpStatus.NOT_FOUND, "no such path"))
            }
        }
    }

    /** The job is over: whoever waits for that is told. */
    fun closed(id: String) = cancellations.closed(id)

    /** Turns away what has waited too long, then sends what is due. */
    fun drive() {
        submissions.expire()
        polls.expire()
        cancellations.expire()
        submissions.flush()
        polls.flush()
        cancellations.markOpenJobs()
    }

    private fun only(
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
        /** What a user's request asks for, for counting. */
        fun kind(request: Request): String =
            when {
                request.method == "GET" -> "poll"
                request.path.endsWith("/withdraw") -> "withdraw"
                else -> "submit"
            }
    }
}
