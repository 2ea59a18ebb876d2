package ledgearch.simulation.invariants

/** An attempt on a worker that is alive. [isExecuting] means that it has its image and has not exited. */
internal data class ObservedTask(
    val taskId: String,
    val attempt: Long,
    val worker: String,
    val isExecuting: Boolean,
    val isReachable: Boolean,
) {
    val job: String get() = taskId.substringBefore('/')
}

/**
 * Checks what workers execute against the replies of controllers. It keeps its own record of submissions, completions
 * and final states, and uses neither the scheduler nor the other invariants.
 */
internal class ExecutionAudit(
    private val cancelMs: Long,
    private val reportViolation: (rule: String, details: String) -> Unit,
) {
    private val taskCounts = HashMap<String, Int>()
    private val directDependencies = HashMap<String, List<String>>()
    private val completedTasks = HashMap<String, HashSet<String>>()
    private val cancelledAtMs = HashMap<String, Long>()
    private val doneJobs = HashSet<String>()
    private val reported = HashSet<String>()
    private val unwantedSinceMs = HashMap<String, Long>()
    private val underreportedSinceMs = HashMap<String, Long>()

    fun recordSubmission(
        job: String,
        tasks: Int,
        dependsOn: List<String>,
    ) {
        taskCounts[job] = tasks
        directDependencies[job] = dependsOn
    }

    fun recordCompletion(taskId: String) {
        completedTasks.getOrPut(taskId.substringBefore('/')) { HashSet() }.add(taskId)
    }

    /** Records a reply that reports [job] as cancelled. */
    fun recordCancelledReply(
        job: String,
        atMs: Long,
    ) {
        cancelledAtMs.putIfAbsent(job, atMs)
    }

    /** Records a reply that reports [job] as done. */
    fun recordDoneReply(job: String) {
        doneJobs.add(job)
    }

    /** Checks a reply that reports [job] as pending or running; [sentAtMs] is when the request was sent. */
    fun checkOpenReply(
        job: String,
        sentAtMs: Long,
    ) {
        for (dependency in dependenciesOf(job)) {
            val reportedAtMs = cancelledAtMs[dependency] ?: continue
            val lateMs = sentAtMs - reportedAtMs
            if (lateMs > cancelMs) {
                reportOnce(
                    "orphaned",
                    "$job is reported as open $lateMs ms after $dependency was reported as cancelled",
                )
            }
        }
    }

    /** Checks a task that begins to execute. */
    fun checkStart(
        taskId: String,
        worker: String,
        nowMs: Long,
    ) {
        val job = taskId.substringBefore('/')
        if (isCancelled(job, nowMs)) {
            reportOnce("ran_cancelled", "$taskId starts on $worker after $job was reported as cancelled")
        }
        for (dependency in dependenciesOf(job)) {
            if (!isComplete(dependency)) reportOnce("too_early", "$taskId starts on $worker before $dependency is done")
            if (isCancelled(dependency, nowMs)) {
                reportOnce("ran_cancelled", "$taskId starts on $worker though $dependency is cancelled")
            }
        }
    }

    /** Checks the tasks on all workers that are alive. The checks hold at any time and under any faults. */
    fun inspect(
        nowMs: Long,
        tasks: List<ObservedTask>,
    ) {
        tasks.filter { it.isExecuting }.forEach { inspectExecuting(it, nowMs) }
        for ((taskId, copies) in tasks.filter { it.isExecuting }.groupBy { it.taskId }) {
            if (copies.size > 1) reportOnce("ran_twice", "$taskId executes on ${copies.map { it.worker }}")
        }
    }

    private fun inspectExecuting(
        task: ObservedTask,
        nowMs: Long,
    ) {
        if (isCancelled(task.job, nowMs)) {
            reportOnce(
                "ran_cancelled",
                "${task.taskId} is on ${task.worker} after ${task.job} was reported as cancelled",
            )
        }
        for (dependency in dependenciesOf(task.job)) {
            if (!isComplete(dependency)) {
                reportOnce("too_early", "${task.taskId} is on ${task.worker} before $dependency is done")
            }
            if (isCancelled(dependency, nowMs)) {
                reportOnce("ran_cancelled", "${task.taskId} is on ${task.worker} though $dependency is cancelled")
            }
        }
    }

    /**
     * Checks the tasks on all workers once no fault is left: no unwanted task may stay on a reachable worker for longer
     * than [SETTLING_MS].
     */
    fun inspectSettled(
        nowMs: Long,
        tasks: List<ObservedTask>,
    ) {
        val attempts = tasks.groupBy { it.taskId }
        val unwanted = HashMap<String, String>()
        for (task in tasks.filter { it.isReachable }) {
            val reason = reasonUnwanted(task, attempts.getValue(task.taskId)) ?: continue
            unwanted["${task.taskId} attempt ${task.attempt} on ${task.worker}"] = reason
        }
        unwantedSinceMs.keys.retainAll(unwanted.keys)
        for ((task, reason) in unwanted) {
            val durationMs = nowMs - unwantedSinceMs.getOrPut(task) { nowMs }
            if (durationMs > SETTLING_MS) reportOnce("orphaned", "$task is still there: $reason")
        }
    }

    private fun reasonUnwanted(
        task: ObservedTask,
        attempts: List<ObservedTask>,
    ): String? =
        when {
            task.job in cancelledAtMs -> "its job was reported as cancelled"
            task.job in doneJobs -> "its job was reported as done"
            isComplete(task.job) -> "all tasks of its job have completed"
            task.taskId in completedTasks[task.job].orEmpty() -> "the task has completed"
            attempts.size > 1 -> "${attempts.size} attempts of the task are on workers"
            else -> null
        }

    /**
     * Checks, once no fault is left, the number of running tasks that controllers report for an open job against the
     * number that reachable workers execute. A task that no controller counts for [SETTLING_MS] is orphaned.
     */
    fun compareRunning(
        job: String,
        reportedRunning: Int,
        executing: Int,
        nowMs: Long,
    ) {
        if (reportedRunning >= executing) {
            underreportedSinceMs.remove(job)
            return
        }
        val durationMs = nowMs - underreportedSinceMs.getOrPut(job) { nowMs }
        if (durationMs > SETTLING_MS) {
            reportOnce("orphaned", "$job has $executing executing tasks, but controllers report $reportedRunning")
        }
    }

    private fun isCancelled(
        job: String,
        nowMs: Long,
    ) = cancelledAtMs[job].let { it != null && it <= nowMs }

    private fun isComplete(job: String) = completedTasks[job].orEmpty().size == taskCounts[job]

    /** Returns the direct and transitive dependencies of [job]. */
    private fun dependenciesOf(job: String): Set<String> {
        val dependencies = LinkedHashSet<String>()
        val unvisited = ArrayDeque(directDependencies[job].orEmpty())
        while (unvisited.isNotEmpty()) {
            val next = unvisited.removeFirst()
            if (dependencies.add(next)) unvisited.addAll(directDependencies[next].orEmpty())
        }
        return dependencies
    }

    private fun reportOnce(
        rule: String,
        details: String,
    ) {
        if (reported.add("$rule $details")) reportViolation(rule, "audit: $details")
    }

    companion object {
        /** Time in which an unwanted task must leave a reachable worker, once no fault is left. */
        const val SETTLING_MS = 45_000L
    }
}
