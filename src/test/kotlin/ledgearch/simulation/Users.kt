package ledgearch.simulation

import kotlinx.serialization.json.Json
import ledgearch.http.Reply
import ledgearch.simulation.invariants.Milestones
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState
import ledgearch.wire.JobStatus
import ledgearch.wire.WireJson

/** The users: they submit, ask and cancel as the protocol has it, and some of them poll rapidly. */
internal class Users(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val invariants get() = simulation.invariants

    /**
     * Share of the accepted, ended and cancelled jobs about which all controllers are asked at once, again and again.
     */
    var rapidPolls = 0.0

    /** Share of the jobs that end which are cancelled at that moment. */
    var cancelsAtEnd = 0.0

    /** Sent as soon as its user was told that the jobs which it awaits are accepted. */
    fun submit(
        spec: JobSpec,
        node: String? = null,
    ) {
        val unaccepted = spec.dependsOn.orEmpty().firstOrNull { !invariants.isAccepted(it) }
        if (unaccepted != null) {
            invariants.milestones.await(unaccepted, Milestones.Kind.ACCEPTED) { submit(spec, node) }
        } else {
            send(spec, node)
        }
    }

    private fun send(
        spec: JobSpec,
        node: String?,
    ) {
        invariants.recordSubmission(spec)
        val until = clock.now + PATIENCE_MS

        fun attempt() {
            submitOnce(spec.id, body(spec), node) { status ->
                if (status !in FINAL_ANSWERS && clock.now < until) clock.after(1000) { attempt() }
            }
        }
        attempt()
    }

    private fun body(spec: JobSpec) = SUBMISSION.encodeToString(JobSpec.serializer(), spec)

    fun submitOnce(
        job: String,
        body: String,
        node: String?,
        answered: (Int) -> Unit,
    ) {
        val sentAtMs = clock.now
        simulation.ask("POST", "/work", body, node) { reply ->
            val isNew = !invariants.isAccepted(job)
            invariants.recordSubmitReply(job, reply.status, stateIn(reply), sentAtMs)
            answered(reply.status)
            if (isNew && invariants.isAccepted(job)) maybePollRapidly(job)
        }
    }

    fun cancel(
        job: String,
        node: String? = null,
        patienceMs: Long = PATIENCE_MS,
    ) {
        val until = clock.now + patienceMs

        fun attempt() {
            invariants.recordCancelRequest(job)
            val sentAtMs = clock.now
            simulation.ask("POST", "/work/$job/withdraw", "", node) { reply ->
                invariants.recordCancelReply(job, reply.status, stateIn(reply), sentAtMs)
                if (reply.status == 200) pollRapidlyWithDependents(job)
                if (reply.status != 200 && reply.status != 404 && clock.now < until) clock.after(1000) { attempt() }
            }
        }
        attempt()
    }

    fun poll(
        job: String,
        node: String? = null,
        answer: (Int, JobState?) -> Unit,
    ) {
        val sentAtMs = clock.now
        simulation.ask("GET", "/work/$job", null, node) { reply ->
            invariants.recordReply(job, reply.status, stateIn(reply), sentAtMs)
            answer(reply.status, stateIn(reply))
        }
    }

    /** The last task of [job] has just ended. */
    fun ended(job: String) {
        if (cancelsAtEnd > 0 && simulation.random.nextDouble() < cancelsAtEnd) {
            clock.after(simulation.random.nextLong(AT_END_MS)) { cancel(job) }
        }
        pollRapidlyWithDependents(job)
    }

    private fun pollRapidlyWithDependents(job: String) {
        maybePollRapidly(job)
        if (rapidPolls > 0) invariants.dependentsOf(job).forEach(::maybePollRapidly)
    }

    private fun maybePollRapidly(job: String) {
        if (rapidPolls > 0 && simulation.random.nextDouble() < rapidPolls) pollRapidly(job, RAPID_POLL_MS)
    }

    /**
     * For so long all controllers are asked about [job] every few ms, and some of the questions are repeated
     * submissions.
     */
    fun pollRapidly(
        job: String,
        forMs: Long,
    ) {
        val until = clock.now + forMs

        fun pollAll() {
            for (node in simulation.nodes) {
                if (!node.up) continue
                val spec = invariants.submittedJobs[job]
                if (spec != null && simulation.random.nextInt(REPEATS) == 0) {
                    submitOnce(job, body(spec), node.name) { }
                } else {
                    poll(job, node.name) { _, _ -> }
                }
            }
            if (clock.now < until) clock.after(1 + simulation.random.nextLong(RAPID_POLL_EVERY_MS)) { pollAll() }
        }
        pollAll()
    }

    /** Every controller is asked about [job], again each second until it answers. */
    fun pollEverywhere(job: String) {
        for (node in simulation.nodes) pollUntilAnswered(job, node.name, clock.now + PATIENCE_MS)
    }

    private fun pollUntilAnswered(
        job: String,
        node: String,
        until: Long,
    ) {
        poll(job, node) { status, _ ->
            if (status != 200 && clock.now < until) clock.after(1000) { pollUntilAnswered(job, node, until) }
        }
    }

    /** [count] jobs that others need, and that are not complete, are cancelled within a fifth of a second. */
    fun cancelNeeded(
        count: Int,
        patienceMs: Long = PATIENCE_MS,
    ) {
        val needed =
            invariants.submittedJobs.keys.filter {
                invariants.isAccepted(it) && !invariants.isCancelRequested(it) && !invariants.isCompleted(it) &&
                    invariants.dependentsOf(it).isNotEmpty()
            }
        for (job in needed.shuffled(simulation.random).take(count)) {
            clock.after(simulation.random.nextLong(CANCEL_SPREAD_MS)) {
                cancel(job, patienceMs = patienceMs)
            }
        }
    }

    /**
     * [count] jobs that run are cancelled within a fifth of a second; with [hangMs], some of their machines hang so
     * long.
     */
    fun cancelNow(
        count: Int,
        hangMs: Long,
        patienceMs: Long = PATIENCE_MS,
    ) {
        val running =
            invariants.submittedJobs.keys
                .filter { simulation.running(it) > 0 && !invariants.isCancelRequested(it) }
                .shuffled(simulation.random)
                .take(count)
        var hangs = MOST_HANGS
        for (job in running) {
            if (hangMs > 0 && hangs-- > 0) {
                simulation.workersOf(job).firstOrNull()?.let { worker ->
                    worker.hanging = true
                    clock.after(hangMs) { worker.hanging = false }
                }
            }
            clock.after(simulation.random.nextLong(CANCEL_SPREAD_MS)) { cancel(job, patienceMs = patienceMs) }
        }
    }

    private fun stateIn(reply: Reply): JobState? =
        if (reply.status == 200 || reply.status == 201) {
            WireJson.decodeFromString(JobStatus.serializer(), reply.body).state
        } else {
            null
        }

    fun send(
        method: String,
        target: String,
        body: String?,
        node: String? = null,
        answer: (Reply) -> Unit,
    ) {
        val live = simulation.nodes.filter { if (node == null) it.isHealthy else it.name == node && it.up }
        var answered = false

        fun finish(reply: Reply) {
            if (answered) return
            answered = true
            answer(reply)
        }
        clock.after(5000) { finish(Reply.NONE) }
        if (live.isNotEmpty()) {
            val served = live[simulation.random.nextInt(live.size)].name
            simulation.network.send(Message("user", served, method, target, body)) { finish(it) }
        }
    }

    companion object {
        /** Users leave out only what may be null. */
        val SUBMISSION = Json(WireJson) { encodeDefaults = true }
        const val PATIENCE_MS = 60_000L

        /** ms. A cancellation may be repeated until it is answered, however long the state service is out. */
        const val LONG_PATIENCE_MS = 600_000L
        private val FINAL_ANSWERS = setOf(200, 201, 400, 422)
        private const val AT_END_MS = 60L
        private const val RAPID_POLL_MS = 250L
        private const val RAPID_POLL_EVERY_MS = 12L
        private const val REPEATS = 4
        private const val CANCEL_SPREAD_MS = 200L
        private const val MOST_HANGS = 8
    }
}
