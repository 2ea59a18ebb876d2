package ledgearch.simulation.invariants

import ledgearch.simulation.Simulation
import ledgearch.wire.JobState
import ledgearch.wire.JobStatus
import ledgearch.wire.TaskState
import ledgearch.wire.WireJson

/** Gives the [ExecutionAudit] what is on the workers of the [simulation], again and again. */
internal class AuditSampler(
    private val simulation: Simulation,
    private val audit: ExecutionAudit,
) {
    private val clock get() = simulation.clock

    /** From now on, under any failures. */
    fun begin() {
        audit.inspect(clock.now, observed())
        clock.after(SAMPLE_MS) { begin() }
    }

    /** From now on; no failure is left. Every controller is asked about each job that is not over for its user. */
    fun beginSettled() {
        val open = simulation.invariants.everyoneAccepted.filter { !simulation.invariants.isToldOver(it) }
        open.forEachIndexed { index, job ->
            clock.after(index * QUESTION_MS) { simulation.users.pollEverywhere(job) }
        }
        sampleSettled()
    }

    private fun sampleSettled() {
        audit.inspectSettled(clock.now, observed())
        compareRunning()
        clock.after(SETTLED_SAMPLE_MS) { sampleSettled() }
    }

    /** Since when each task that is reached has been seen executing, in the samples so far. */
    private var executingSince = emptyMap<ObservedTask, Long>()

    /** What the controller that knows of most running tasks of a job says, against what has been executed for long. */
    private fun compareRunning() {
        val executing = observed().filter { it.executing && it.reached }
        executingSince = executing.associateWith { executingSince[it] ?: clock.now }
        val known = executing.filter { clock.now - executingSince.getValue(it) >= KNOWN_MS }
        known.groupBy { it.job }.forEach { (job, tasks) -> askAll(job, tasks) }
    }

    private fun askAll(
        job: String,
        tasks: List<ObservedTask>,
    ) {
        val told = HashMap<String, Int>()
        for (node in simulation.nodes) {
            simulation.ask("GET", "/work/$job", null, node.name) { reply ->
                if (reply.status == 200) told[node.name] = runningIn(reply.body)
            }
        }
        clock.after(ANSWERS_MS) {
            val most = told.values.maxOrNull() ?: return@after
            val still = observed().toSet().intersect(tasks.toSet())
            audit.compareRunning(job, most, still.size, clock.now)
        }
    }

    private fun runningIn(body: String): Int {
        val status = WireJson.decodeFromString(JobStatus.serializer(), body)
        val open = status.state == JobState.PENDING || status.state == JobState.RUNNING
        return if (open) status.running ?: 0 else Int.MAX_VALUE
    }

    private fun observed() =
        simulation.workers.values.filter { it.alive }.flatMap { worker ->
            val reached = simulation.isReached(worker)
            worker.tasks.values
                .filter { it.state != TaskState.EXITED }
                .map { ObservedTask(it.taskId, it.attempt, worker.name, it.isExecuting, reached) }
        }

    private companion object {
        /** ms. Between two samples under failures. */
        const val SAMPLE_MS = 1_000L

        /** ms. Between two samples once failures are over. */
        const val SETTLED_SAMPLE_MS = 5_000L

        /** ms. Between questions about two jobs. */
        const val QUESTION_MS = 100L

        /** ms. A task that has been executed for so long was reported, and controllers have told each other. */
        const val KNOWN_MS = 20_000L

        /** ms. So long after a question its answers are compared. */
        const val ANSWERS_MS = 4_000L
    }
}
