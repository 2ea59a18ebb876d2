package ledgearch.simulation.invariants

import ledgearch.simulation.Simulation
import ledgearch.wire.JobState
import ledgearch.wire.JobStatus
import ledgearch.wire.TaskState
import ledgearch.wire.WireJson

/** Passes samples of the tasks on the workers of the [simulation] to the [ExecutionAudit]. */
internal class AuditSampler(
    private val simulation: Simulation,
    private val audit: ExecutionAudit,
) {
    private val clock get() = simulation.clock

    /** Starts sampling. The checks hold under any faults. */
    fun begin() {
        audit.inspect(clock.nowMs, observedTasks())
        clock.after(SAMPLE_INTERVAL_MS) { begin() }
    }

    /**
     * Starts sampling with the checks that hold only once no fault is left, and polls every controller about each open
     * job.
     */
    fun beginSettled() {
        val openJobs = simulation.invariants.acceptedJobs.filter { !simulation.invariants.isObservedEnded(it) }
        openJobs.forEachIndexed { index, job ->
            clock.after(index * POLL_INTERVAL_MS) { simulation.users.pollEverywhere(job) }
        }
        sampleSettled()
    }

    private fun sampleSettled() {
        audit.inspectSettled(clock.nowMs, observedTasks())
        compareRunning()
        clock.after(SETTLED_SAMPLE_INTERVAL_MS) { sampleSettled() }
    }

    /** Time (ms) since when each reachable task has been executing in all samples. */
    private var executingSinceMs = emptyMap<ObservedTask, Long>()

    /**
     * Compares the highest number of running tasks that a controller reports for each job with the number of tasks that
     * have executed for at least [KNOWN_AFTER_MS].
     */
    private fun compareRunning() {
        val executing = observedTasks().filter { it.isExecuting && it.isReachable }
        executingSinceMs = executing.associateWith { executingSinceMs[it] ?: clock.nowMs }
        val executingLong = executing.filter { clock.nowMs - executingSinceMs.getValue(it) >= KNOWN_AFTER_MS }
        executingLong.groupBy { it.job }.forEach { (job, tasks) -> compareWithReplies(job, tasks) }
    }

    private fun compareWithReplies(
        job: String,
        tasks: List<ObservedTask>,
    ) {
        val reportedRunning = HashMap<String, Int>()
        for (node in simulation.nodes) {
            simulation.sendUserRequest("GET", "/work/$job", null, node.name) { reply ->
                if (reply.status == 200) reportedRunning[node.name] = runningTasksIn(reply.body)
            }
        }
        clock.after(REPLY_WAIT_MS) {
            val maxReported = reportedRunning.values.maxOrNull() ?: return@after
            val stillExecuting = observedTasks().toSet().intersect(tasks.toSet())
            audit.compareRunning(job, maxReported, stillExecuting.size, clock.nowMs)
        }
    }

    private fun runningTasksIn(body: String): Int {
        val status = WireJson.decodeFromString(JobStatus.serializer(), body)
        val isOpen = status.state == JobState.PENDING || status.state == JobState.RUNNING
        return if (isOpen) status.running ?: 0 else Int.MAX_VALUE
    }

    private fun observedTasks() =
        simulation.workers.values.filter { it.isAlive }.flatMap { worker ->
            val isReachable = simulation.isReachable(worker)
            worker.tasks.values
                .filter { it.state != TaskState.EXITED }
                .map { ObservedTask(it.taskId, it.attempt, worker.name, it.isExecuting, isReachable) }
        }

    private companion object {
        const val SAMPLE_INTERVAL_MS = 1_000L
        const val SETTLED_SAMPLE_INTERVAL_MS = 5_000L
        const val POLL_INTERVAL_MS = 100L

        /** Time in which an executing task is reported to the leader and published to the other controllers. */
        const val KNOWN_AFTER_MS = 20_000L

        const val REPLY_WAIT_MS = 4_000L
    }
}
