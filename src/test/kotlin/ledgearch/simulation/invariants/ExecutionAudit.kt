package ledgearch.simulation.invariants

/** A task as it is on a worker that is alive. [executing]: it has its image and has not exited. */
internal data class ObservedTask(
    val taskId: String,
    val attempt: Long,
    val worker: String,
    val executing: Boolean,
    val reached: Boolean,
) {
    val job: String get() = taskId.substringBefore('/')
}

/**
 * Checks what workers execute against what users were told, from events alone: it asks neither the scheduler nor the
 * other invariants. Its ground truth of completions, submissions and final states is its own.
 */
internal class ExecutionAudit(
    private val cancelMs: Long,
    private val report: (rule: String, what: String) -> Unit,
) {
    private val taskCounts = HashMap<String, Int>()
    private val awaited = HashMap<String, List<String>>()
    private val completedTasks = HashMap<String, HashSet<String>>()
    private val cancelledAt = HashMap<String, Long>()
    private val done = HashSet<String>()
    private val reported = HashSet<String>()
    private val unwantedSince = HashMap<String, Long>()
    private val understatedSince = HashMap<String, Long>()

    fun submitted(
        job: String,
        tasks: Int,
        dependsOn: List<String>,
    ) {
        taskCounts[job] = tasks
        awaited[job] = dependsOn
    }

    fun completed(taskId: String) {
        completedTasks.getOrPut(taskId.substringBefore('/')) { HashSet() }.add(taskId)
    }

    /** A user was told that [job] is cancelled. */
    fun toldCancelled(
        job: String,
        at: Long,
    ) {
        cancelledAt.putIfAbsent(job, at)
    }

    /** A user was told that [job] is done. */
    fun toldDone(job: String) {
        done.add(job)
    }

    /** An answer to a question asked at [askedAt] called [job] pending or running. */
    fun toldOpen(
        job: String,
        askedAt: Long,
    ) {
        for (needed in neededBy(job)) {
            val toldAt = cancelledAt[needed] ?: continue
            val late = askedAt - toldAt
            if (late > cancelMs) once("orphaned", "$job is called open $late ms after $needed was called cancelled")
        }
    }

    /** A task has its image and begins to execute. */
    fun started(
        taskId: String,
        worker: String,
        now: Long,
    ) {
        val job = taskId.substringBefore('/')
        if (isCancelled(job, now)) once("ran_cancelled", "$taskId starts on $worker after $job was called cancelled")
        for (needed in neededBy(job)) {
            if (!isComplete(needed)) once("too_early", "$taskId starts on $worker before $needed is done")
            if (isCancelled(needed, now)) {
                once("ran_cancelled", "$taskId starts on $worker though $needed is cancelled")
            }
        }
    }

    /** What is on all workers that are alive, at any time, under any failures. */
    fun inspect(
        now: Long,
        tasks: List<ObservedTask>,
    ) {
        tasks.filter { it.executing }.forEach { inspectExecuting(it, now) }
        for ((taskId, copies) in tasks.filter { it.executing }.groupBy { it.taskId }) {
            if (copies.size > 1) once("ran_twice", "$taskId executes on ${copies.map { it.worker }}")
        }
    }

    private fun inspectExecuting(
        task: ObservedTask,
        now: Long,
    ) {
        if (isCancelled(task.job, now)) {
            once("ran_cancelled", "${task.taskId} is on ${task.worker} after ${task.job} was called cancelled")
        }
        for (needed in neededBy(task.job)) {
            if (!isComplete(needed)) once("too_early", "${task.taskId} is on ${task.worker} before $needed is done")
            if (isCancelled(needed, now)) {
                once("ran_cancelled", "${task.taskId} is on ${task.worker} though $needed is cancelled")
            }
        }
    }

    /**
     * The same once all failures are over: nothing that is unwanted may stay on a worker that is reached. Workers are
     * given [SETTLING_MS] to hear of it.
     */
    fun inspectSettled(
        now: Long,
        tasks: List<ObservedTask>,
    ) {
        val attempts = tasks.groupBy { it.taskId }
        val unwanted = HashMap<String, String>()
        for (task in tasks.filter { it.reached }) {
            val reason = reasonAgainst(task, attempts.getValue(task.taskId)) ?: continue
            unwanted["${task.taskId} attempt ${task.attempt} on ${task.worker}"] = reason
        }
        unwantedSince.keys.retainAll(unwanted.keys)
        for ((task, reason) in unwanted) {
            val forMs = now - unwantedSince.getOrPut(task) { now }
            if (forMs > SETTLING_MS) once("orphaned", "$task goes on: $reason")
        }
    }

    private fun reasonAgainst(
        task: ObservedTask,
        attempts: List<ObservedTask>,
    ): String? =
        when {
            task.job in cancelledAt -> "its job was called cancelled"
            task.job in done -> "its job was called done"
            isComplete(task.job) -> "all tasks of its job have completed"
            task.taskId in completedTasks[task.job].orEmpty() -> "it has completed"
            attempts.size > 1 -> "${attempts.size} attempts of it are on workers"
            else -> null
        }

    /**
     * Once all failures are over: a controller called [job] open with [told] running tasks while workers that are
     * reached execute [executing]. A task that no controller counts any more for [SETTLING_MS] is orphaned.
     */
    fun compareRunning(
        job: String,
        told: Int,
        executing: Int,
        now: Long,
    ) {
        if (told >= executing) {
            understatedSince.remove(job)
            return
        }
        val forMs = now - understatedSince.getOrPut(job) { now }
        if (forMs > SETTLING_MS) once("orphaned", "$job has $executing executing tasks, but $told are known")
    }

    private fun isCancelled(
        job: String,
        now: Long,
    ) = cancelledAt[job].let { it != null && it <= now }

    private fun isComplete(job: String) = completedTasks[job].orEmpty().size == taskCounts[job]

    /** All jobs that [job] awaits, directly or through others. */
    private fun neededBy(job: String): Set<String> {
        val needed = LinkedHashSet<String>()
        val open = ArrayDeque(awaited[job].orEmpty())
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            if (needed.add(next)) open.addAll(awaited[next].orEmpty())
        }
        return needed
    }

    private fun once(
        rule: String,
        what: String,
    ) {
        if (reported.add("$rule $what")) report(rule, "audit: $what")
    }

    companion object {
        /** ms. So long an unwanted task may stay on a worker that is reached, once all failures are over. */
        const val SETTLING_MS = 45_000L
    }
}
