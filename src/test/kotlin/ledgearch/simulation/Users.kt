package ledgearch.simulation

import kotlinx.serialization.json.Json
import ledgearch.http.Reply
import ledgearch.simulation.invariants.Milestones
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState
import ledgearch.wire.JobStatus
import ledgearch.wire.WireJson

/** The users. They submit, poll and cancel jobs by the published protocol, and poll some of them rapidly. */
internal class Users(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val invariants get() = simulation.invariants

    /** Share of the accepted, ended and cancelled jobs that are polled rapidly at all controllers. */
    var rapidPollShare = 0.0

    /** Share of the jobs that are cancelled at the moment when they end. */
    var cancelAtEndShare = 0.0

    /** Submits a job once replies have reported its dependencies as accepted. */
    fun submit(
        spec: JobSpec,
        node: String? = null,
    ) {
        val unaccepted = spec.dependsOn.orEmpty().firstOrNull { !invariants.isAccepted(it) }
        if (unaccepted != null) {
            invariants.milestones.await(unaccepted, Milestones.Kind.ACCEPTED) { submit(spec, node) }
        } else {
            submitUntilReplied(spec, node)
        }
    }

    private fun submitUntilReplied(
        spec: JobSpec,
        node: String?,
    ) {
        invariants.recordSubmission(spec)
        val untilMs = clock.nowMs + RETRY_FOR_MS

        fun attempt() {
            submitOnce(spec.id, body(spec), node) { status ->
                if (status !in FINAL_STATUSES && clock.nowMs < untilMs) clock.after(1000) { attempt() }
            }
        }
        attempt()
    }

    private fun body(spec: JobSpec) = SUBMISSION_JSON.encodeToString(JobSpec.serializer(), spec)

    fun submitOnce(
        job: String,
        body: String,
        node: String?,
        onStatus: (Int) -> Unit,
    ) {
        val sentAtMs = clock.nowMs
        simulation.sendUserRequest("POST", "/work", body, node) { reply ->
            val isNew = !invariants.isAccepted(job)
            invariants.recordSubmitReply(job, reply.status, stateIn(reply), sentAtMs)
            onStatus(reply.status)
            if (isNew && invariants.isAccepted(job)) maybePollRapidly(job)
        }
    }

    fun cancel(
        job: String,
        node: String? = null,
        retryForMs: Long = RETRY_FOR_MS,
    ) {
        val untilMs = clock.nowMs + retryForMs

        fun attempt() {
            invariants.recordCancelRequest(job)
            val sentAtMs = clock.nowMs
            simulation.sendUserRequest("POST", "/work/$job/withdraw", "", node) { reply ->
                invariants.recordCancelReply(job, reply.status, stateIn(reply), sentAtMs)
                if (reply.status == 200) pollRapidlyWithDependents(job)
                if (reply.status != 200 && reply.status != 404 && clock.nowMs < untilMs) clock.after(1000) { attempt() }
            }
        }
        attempt()
    }

    fun poll(
        job: String,
        node: String? = null,
        onReply: (Int, JobState?) -> Unit,
    ) {
        val sentAtMs = clock.nowMs
        simulation.sendUserRequest("GET", "/work/$job", null, node) { reply ->
            invariants.recordReply(job, reply.status, stateIn(reply), sentAtMs)
            onReply(reply.status, stateIn(reply))
        }
    }

    /** Called when the last task of [job] has completed. */
    fun onJobEnded(job: String) {
        if (cancelAtEndShare > 0 && simulation.random.nextDouble() < cancelAtEndShare) {
            clock.after(simulation.random.nextLong(MAX_CANCEL_AT_END_DELAY_MS)) { cancel(job) }
        }
        pollRapidlyWithDependents(job)
    }

    private fun pollRapidlyWithDependents(job: String) {
        maybePollRapidly(job)
        if (rapidPollShare > 0) invariants.dependentsOf(job).forEach(::maybePollRapidly)
    }

    private fun maybePollRapidly(job: String) {
        if (rapidPollShare > 0 && simulation.random.nextDouble() < rapidPollShare) {
            pollRapidly(job, RAPID_POLL_DURATION_MS)
        }
    }

    /**
     * Polls all controllers about [job] every few ms for [durationMs]. Some of the requests are repeated submissions
     * instead.
     */
    fun pollRapidly(
        job: String,
        durationMs: Long,
    ) {
        val untilMs = clock.nowMs + durationMs

        fun pollAll() {
            for (node in simulation.nodes) {
                if (!node.isUp) continue
                val spec = invariants.submittedJobs[job]
                if (spec != null && simulation.random.nextInt(RESUBMIT_ONE_IN) == 0) {
                    submitOnce(job, body(spec), node.name) { }
                } else {
                    poll(job, node.name) { _, _ -> }
                }
            }
            if (clock.nowMs < untilMs) {
                clock.after(1 + simulation.random.nextLong(MAX_RAPID_POLL_PAUSE_MS)) { pollAll() }
            }
        }
        pollAll()
    }

    /** Polls every controller about [job], again each second until a reply has status 200. */
    fun pollEverywhere(job: String) {
        for (node in simulation.nodes) pollUntilKnown(job, node.name, clock.nowMs + RETRY_FOR_MS)
    }

    private fun pollUntilKnown(
        job: String,
        node: String,
        untilMs: Long,
    ) {
        poll(job, node) { status, _ ->
            if (status != 200 && clock.nowMs < untilMs) clock.after(1000) { pollUntilKnown(job, node, untilMs) }
        }
    }

    /** Cancels [count] incomplete jobs that others depend on, within a fifth of a second. */
    fun cancelDependencies(
        count: Int,
        retryForMs: Long = RETRY_FOR_MS,
    ) {
        val dependencies =
            invariants.submittedJobs.keys.filter {
                invariants.isAccepted(it) && !invariants.isCancelRequested(it) && !invariants.isCompleted(it) &&
                    invariants.dependentsOf(it).isNotEmpty()
            }
        for (job in dependencies.shuffled(simulation.random).take(count)) {
            clock.after(simulation.random.nextLong(CANCEL_SPREAD_MS)) { cancel(job, retryForMs = retryForMs) }
        }
    }

    /**
     * Cancels [count] running jobs within a fifth of a second. With [hangMs] some of their machines hang for that time.
     */
    fun cancelRunning(
        count: Int,
        hangMs: Long,
        retryForMs: Long = RETRY_FOR_MS,
    ) {
        val running =
            invariants.submittedJobs.keys
                .filter { simulation.runningTaskCount(it) > 0 && !invariants.isCancelRequested(it) }
                .shuffled(simulation.random)
                .take(count)
        var remainingHangs = MAX_HANGING_MACHINES
        for (job in running) {
            if (hangMs > 0 && remainingHangs-- > 0) {
                simulation.workersOf(job).firstOrNull()?.let { worker ->
                    worker.isHanging = true
                    clock.after(hangMs) { worker.isHanging = false }
                }
            }
            clock.after(simulation.random.nextLong(CANCEL_SPREAD_MS)) { cancel(job, retryForMs = retryForMs) }
        }
    }

    private fun stateIn(reply: Reply): JobState? =
        if (reply.status == 200 || reply.status == 201) {
            WireJson.decodeFromString(JobStatus.serializer(), reply.body).state
        } else {
            null
        }

    fun sendRequest(
        method: String,
        target: String,
        body: String?,
        node: String? = null,
        onReply: (Reply) -> Unit,
    ) {
        val candidates = simulation.nodes.filter { if (node == null) it.isHealthy else it.name == node && it.isUp }
        var hasReply = false

        fun finish(reply: Reply) {
            if (hasReply) return
            hasReply = true
            onReply(reply)
        }
        clock.after(5000) { finish(Reply.NONE) }
        if (candidates.isNotEmpty()) {
            val recipient = candidates[simulation.random.nextInt(candidates.size)].name
            simulation.network.send(Message("user", recipient, method, target, body)) { finish(it) }
        }
    }

    companion object {
        /** Encodes a submission with all fields that are not null. */
        val SUBMISSION_JSON = Json(WireJson) { encodeDefaults = true }
        const val RETRY_FOR_MS = 60_000L

        /** Long enough to repeat a cancellation until there is a reply, however long the state service is down. */
        const val LONG_RETRY_FOR_MS = 600_000L
        private val FINAL_STATUSES = setOf(200, 201, 400, 422)
        private const val MAX_CANCEL_AT_END_DELAY_MS = 60L
        private const val RAPID_POLL_DURATION_MS = 250L
        private const val MAX_RAPID_POLL_PAUSE_MS = 12L
        private const val RESUBMIT_ONE_IN = 4
        private const val CANCEL_SPREAD_MS = 200L
        private const val MAX_HANGING_MACHINES = 8
    }
}
