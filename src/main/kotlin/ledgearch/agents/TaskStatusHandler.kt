package ledgearch.agents

import ledgearch.jobs.JobStore
import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.runtime.Metrics
import ledgearch.scheduling.RunTimeEstimates
import ledgearch.wire.ExitCause
import ledgearch.wire.JobState
import ledgearch.wire.TaskReport
import ledgearch.wire.TaskState
import org.slf4j.LoggerFactory

/** Receives changes that follow from the agents' lists of tasks. */
internal interface TaskStatusListener {
    /** Called when a change may allow pending tasks to start. */
    fun onPlacementChanged()

    /** Called when [attempt] was lost with its machine or its agent's incarnation instead of exiting. */
    fun onAttemptLost(attempt: TaskAttempt)

    /** Called when the quarantine of a machine has ended, so that it gets new tasks again. */
    fun onQuarantineEnded()
}

/** Applies the agents' lists of tasks to the leader's attempts. */
internal class TaskStatusHandler(
    private val jobStore: JobStore,
    machines: Map<String, Machine>,
    private val estimates: RunTimeEstimates,
    private val recordWriter: RecordWriter,
    private val metrics: Metrics,
    private val clock: Clock,
    private val dispatcher: CommandDispatcher,
    private val listener: TaskStatusListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")
    private val failures = TaskFailures(machines, recordWriter, metrics, clock, listener::onQuarantineEnded)

    /** Ends quarantines whose time has come, when a check is due. */
    fun reviewQuarantines() = failures.runDueWork()

    /** Called when the final record of [job] is durable. */
    fun onJobClosed(job: Job) = failures.onJobClosed(job)

    /** Applies [reports], which list all tasks on [machine] as of the message with its current sequence number. */
    fun reconcile(
        machine: Machine,
        reports: List<TaskReport>,
    ) {
        for (report in reports) {
            val known = machine.attempts.get(report.attempt)
            val attempt = known ?: adopt(machine, report)
            attempt.lastListedSequence = machine.numbers.sequence
            update(attempt, report)
            // The agent may still send its heartbeats to an earlier leader, so the stop is sent directly.
            if (known == null && attempt.stopMode != StopMode.NONE && !attempt.isExited) dispatcher.enqueue(machine)
        }
        removeUnlisted(machine)
    }

    private fun removeUnlisted(machine: Machine) {
        if (machine.attempts.values.all { it.lastListedSequence == machine.numbers.sequence }) return
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.lastListedSequence == machine.numbers.sequence || mayStillStart(attempt)) continue
            if (attempt.isExited) metrics.recordLatency("clear", attempt.exitedAtMs)
            remove(attempt)
        }
    }

    /**
     * Returns whether [attempt] may start later. Its start is sent repeatedly until the agent lists it; after a restart
     * of the agent a late copy may start it once more.
     */
    private fun mayStillStart(attempt: TaskAttempt): Boolean {
        if (attempt.isReported || attempt.isLost) return !attempt.isDirectStartFenced
        return attempt.stopMode == StopMode.NONE || !attempt.isStartFenced
    }

    /**
     * Adds the attempt in [report], which an earlier leader started. It is stopped if its job is no longer open or is
     * being cancelled, or if its task is finished or has another attempt.
     */
    private fun adopt(
        machine: Machine,
        report: TaskReport,
    ): TaskAttempt {
        val id = report.taskId.substringBefore('/')
        val index = report.taskId.substringAfter('/', "").toIntOrNull() ?: NO_INDEX
        val job = jobStore.jobs[id]?.takeIf { index in 0 until it.spec.taskCount && !it.attempts.containsKey(index) }
        val attempt =
            TaskAttempt(job, report.taskId, index, report.attempt, machine, clock.steadyMs, isInherited = true)
        machine.attach(attempt)
        if (job == null) {
            attempt.stopMode = StopMode.AT_ONCE
        } else {
            if (job.finishedTasks.get(index)) attempt.stopMode = StopMode.AT_ONCE
            job.addAttempt(attempt)
            if (job.record.cancelRequested) attempt.stopMode = StopMode.AT_ONCE
        }
        return attempt
    }

    private fun update(
        attempt: TaskAttempt,
        report: TaskReport,
    ) {
        val isFirstReport = !attempt.isReported
        attempt.isReported = true
        attempt.isLost = false
        when (report.state) {
            TaskState.FETCHING -> markFetching(attempt, isFirstReport)
            TaskState.RUNNING -> if (attempt.state != AttemptState.RUNNING) markRunning(attempt)
            TaskState.SAVING -> attempt.state = AttemptState.SAVING
            TaskState.EXITED -> if (!attempt.isExited) markExited(attempt, report.cause, isFirstReport)
            TaskState.UNRECOGNIZED -> Unit
        }
    }

    private fun markFetching(
        attempt: TaskAttempt,
        isFirstReport: Boolean,
    ) {
        val job = attempt.job
        if (isFirstReport && job != null) attempt.machine.images.recordUse(job.spec.image, job.spec.imageGb)
        attempt.state = AttemptState.FETCHING
    }

    private fun markRunning(attempt: TaskAttempt) {
        val machine = attempt.machine
        attempt.runningSinceMs = clock.steadyMs
        attempt.state = AttemptState.RUNNING
        log.debug(
            "attempt started running; task={} attempt={} machine={}",
            attempt.taskId,
            attempt.number,
            machine.name,
        )
        val job = attempt.job ?: return
        machine.images.recordUse(job.spec.image, job.spec.imageGb)
        // Latency-sensitive tasks are placed on machines that have their image.
        if (machine.images.fetched.add(job.spec.image)) listener.onPlacementChanged()
    }

    private fun markExited(
        attempt: TaskAttempt,
        cause: ExitCause?,
        isFirstReport: Boolean,
    ) {
        val machine = attempt.machine
        attempt.state = AttemptState.EXITED
        attempt.exitedAtMs = clock.steadyMs
        attempt.exitCause = cause
        listener.onPlacementChanged()
        metrics.count("task.exited.${cause?.text}")
        log.debug(
            "attempt exited; task={} attempt={} machine={} cause={}",
            attempt.taskId,
            attempt.number,
            machine.name,
            cause?.text,
        )
        val job = attempt.job ?: return
        when (cause) {
            ExitCause.DONE -> {
                finishTask(attempt, job)
            }

            ExitCause.ERROR -> {
                // An earlier leader has drawn its conclusions from a failure that it left for the next one to clear.
                if (!attempt.isInherited || !isFirstReport) failures.recordFailure(attempt, job)
            }

            ExitCause.FULL, ExitCause.BUSY -> {
                machine.startsPausedUntilMs = clock.steadyMs + AgentTuning.REFUSED_START_PAUSE_MS
            }

            ExitCause.UNKNOWN_TASK -> {
                job.pausedUntilMs = clock.steadyMs + AgentTuning.REFUSED_START_PAUSE_MS
            }

            ExitCause.STOPPED, ExitCause.UNRECOGNIZED, null -> {
                Unit
            }
        }
        job.removeAttempt(attempt)
    }

    private fun finishTask(
        attempt: TaskAttempt,
        job: Job,
    ) {
        if (job.isService) return failures.recordSuccess(attempt, job)
        if (isRunTimeKnown(attempt, job)) {
            estimates.recordRunTime(job, (clock.steadyMs - attempt.runningSinceMs) / MS_PER_SECOND)
        }
        job.markFinished(attempt.index)
        failures.recordSuccess(attempt, job)
        if (!job.isClosed) recordWriter.writeFinishedTasks(job)
        if (job.isComplete) recordWriter.closeJob(job, JobState.DONE)
    }

    /** Returns whether this leader saw [attempt] from its start, and no checkpoint of an earlier one shortened it. */
    private fun isRunTimeKnown(
        attempt: TaskAttempt,
        job: Job,
    ) = attempt.runningSinceMs > 0 && !attempt.isInherited && job.spec.checkpointIntervalS == 0.0

    /**
     * Returns whether [reports] lack an attempt that the agent of [machine] has listed before and was not told to
     * clear. An agent that has kept its state lists it, so this is a late duplicate, or the agent has restarted.
     */
    fun lacksAttempts(
        machine: Machine,
        reports: List<TaskReport>,
    ): Boolean {
        val expectedCount = machine.attempts.values.count { it.mustBeListed }
        return expectedCount > reports.count { machine.attempts.get(it.attempt)?.mustBeListed == true }
    }

    /** Removes the attempts of [machine], whose agent has ended all tasks, except those that may start once more. */
    fun removeEnded(machine: Machine) {
        for (attempt in machine.attempts.values.toList()) {
            attempt.isLost = true
            if (!mayStillStart(attempt)) remove(attempt)
        }
    }

    /** Removes all attempts of [machine] once none of them can run or start there any more. */
    fun removeAll(machine: Machine) {
        machine.attempts.values
            .toList()
            .forEach(::remove)
    }

    /** Removes [attempt], which provably neither runs nor can start on its machine any more. */
    private fun remove(attempt: TaskAttempt) {
        if (!attempt.isExited) {
            metrics.count("task.lost")
            log.debug(
                "attempt lost; task={} attempt={} machine={}",
                attempt.taskId,
                attempt.number,
                attempt.machine.name,
            )
            if (attempt.stopMode == StopMode.NONE) listener.onAttemptLost(attempt)
        }
        attempt.machine.detach(attempt)
        attempt.job?.removeAttempt(attempt)
        listener.onPlacementChanged()
    }

    private companion object {
        /** Index of a task whose id contains none; such a task belongs to no job. */
        const val NO_INDEX = -1
    }
}
