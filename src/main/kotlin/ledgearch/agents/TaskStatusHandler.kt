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
import ledgearch.scheduling.Estimates
import ledgearch.wire.ExitCause
import ledgearch.wire.JobState
import ledgearch.wire.TaskReport
import ledgearch.wire.TaskState
import org.slf4j.LoggerFactory

/** Told of what the agents' lists of tasks change for others. */
internal interface TaskStatusListener {
    /** Something has changed that may let pending tasks start. */
    fun placementChanged()

    /** [attempt] is gone with its machine or its agent's incarnation, not by its own end. */
    fun attemptLost(attempt: TaskAttempt)
}

/** Applies the agents' lists of tasks to the attempts that the leader knows. */
internal class TaskStatusHandler(
    private val jobStore: JobStore,
    machines: Map<String, Machine>,
    private val estimates: Estimates,
    private val recordWriter: RecordWriter,
    private val metrics: Metrics,
    private val clock: Clock,
    private val dispatcher: CommandDispatcher,
    private val listener: TaskStatusListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")
    private val failures = TaskFailures(machines, recordWriter, clock)

    /** [reports] are all tasks on [machine], as of the message with its present sequence number. */
    fun reconcile(
        machine: Machine,
        reports: List<TaskReport>,
    ) {
        for (report in reports) {
            val known = machine.attempts.get(report.attempt)
            val attempt = known ?: adopt(machine, report)
            attempt.lastListedSequence = machine.sequence
            update(attempt, report)
            // Its agent may be sending heartbeats to an earlier leader still, so it is told directly.
            if (known == null && attempt.stop != StopMode.NONE && !attempt.exited) dispatcher.enqueue(machine)
        }
        endUnlisted(machine)
    }

    private fun endUnlisted(machine: Machine) {
        if (machine.attempts.values.all { it.lastListedSequence == machine.sequence }) return
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.lastListedSequence != machine.sequence && !mayStillStart(attempt)) gone(attempt)
        }
    }

    /** A start that is still on its way may arrive yet; it is sent again until the agent lists the attempt. */
    private fun mayStillStart(attempt: TaskAttempt): Boolean {
        if (attempt.reported) return false
        return attempt.stop == StopMode.NONE || !attempt.settled(attempt.machine.heartbeatSequence)
    }

    /** An attempt that an earlier leader started, or one of a job that is over: the latter is stopped. */
    private fun adopt(
        machine: Machine,
        report: TaskReport,
    ): TaskAttempt {
        val id = report.taskId.substringBefore('/')
        val index = report.taskId.substringAfter('/', "").toIntOrNull() ?: NO_INDEX
        val job = jobStore.jobs[id]?.takeIf { index in 0 until it.spec.taskCount && !it.attempts.containsKey(index) }
        val attempt = TaskAttempt(job, report.taskId, index, report.attempt, machine, clock.steadyMs, inherited = true)
        machine.attach(attempt)
        if (job == null) {
            attempt.stop = StopMode.AT_ONCE
        } else {
            if (job.finished.get(index)) attempt.stop = StopMode.AT_ONCE
            job.place(attempt)
            if (job.record.cancelRequested) attempt.stop = StopMode.AT_ONCE
        }
        return attempt
    }

    private fun update(
        attempt: TaskAttempt,
        report: TaskReport,
    ) {
        val isFirst = !attempt.reported
        attempt.reported = true
        when (report.state) {
            TaskState.FETCHING -> fetching(attempt, isFirst)
            TaskState.RUNNING -> if (attempt.state != AttemptState.RUNNING) started(attempt)
            TaskState.SAVING -> attempt.state = AttemptState.SAVING
            TaskState.EXITED -> if (!attempt.exited) exited(attempt, report.cause)
            TaskState.UNRECOGNIZED -> Unit
        }
    }

    private fun fetching(
        attempt: TaskAttempt,
        isFirst: Boolean,
    ) {
        val job = attempt.job
        if (isFirst && job != null) attempt.machine.touchImage(job.spec.image, job.spec.imageGb)
        attempt.state = AttemptState.FETCHING
    }

    private fun started(attempt: TaskAttempt) {
        val machine = attempt.machine
        attempt.runningSince = clock.steadyMs
        attempt.state = AttemptState.RUNNING
        log.debug("attempt runs; task={} attempt={} machine={}", attempt.taskId, attempt.number, machine.name)
        val job = attempt.job ?: return
        machine.touchImage(job.spec.image, job.spec.imageGb)
        // Latency-sensitive work is placed where its image is.
        if (machine.fetched.add(job.spec.image)) listener.placementChanged()
    }

    private fun exited(
        attempt: TaskAttempt,
        cause: ExitCause?,
    ) {
        val machine = attempt.machine
        attempt.state = AttemptState.EXITED
        attempt.cause = cause
        listener.placementChanged()
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
            ExitCause.DONE -> done(attempt, job)
            ExitCause.ERROR -> failures.failed(machine, job)
            ExitCause.FULL, ExitCause.BUSY -> machine.refusedUntil = clock.steadyMs + AgentTuning.REFUSED_MS
            ExitCause.UNKNOWN_TASK -> job.notBefore = clock.steadyMs + AgentTuning.REFUSED_MS
            ExitCause.STOPPED, ExitCause.UNRECOGNIZED, null -> Unit
        }
        job.free(attempt)
    }

    private fun done(
        attempt: TaskAttempt,
        job: Job,
    ) {
        failures.succeeded(attempt.machine, job)
        if (job.isService) return
        if (isRunTimeKnown(attempt, job)) {
            estimates.ran(job, (clock.steadyMs - attempt.runningSince) / MS_PER_SECOND)
        }
        job.finish(attempt.index)
        if (!job.closed) recordWriter.writeFinishedTasks(job)
        if (job.complete) recordWriter.closeJob(job, JobState.DONE)
    }

    /** The attempt was seen from start to end, and no checkpoint of an earlier attempt made it shorter. */
    private fun isRunTimeKnown(
        attempt: TaskAttempt,
        job: Job,
    ) = attempt.runningSince > 0 && !attempt.inherited && job.spec.checkpointIntervalS == 0.0

    /** All attempts on [machine] are gone, and no start of any can arrive. */
    fun allGone(machine: Machine) {
        machine.attempts.values
            .toList()
            .forEach(::gone)
    }

    /** [attempt] is provably on its machine no more, and no start of it can arrive. */
    private fun gone(attempt: TaskAttempt) {
        if (!attempt.exited) {
            metrics.count("task.lost")
            log.debug(
                "attempt lost; task={} attempt={} machine={}",
                attempt.taskId,
                attempt.number,
                attempt.machine.name,
            )
            if (attempt.stop == StopMode.NONE) listener.attemptLost(attempt)
        }
        attempt.machine.detach(attempt)
        attempt.job?.free(attempt)
        listener.placementChanged()
    }

    private companion object {
        /** Of a task whose id names no index: it belongs to no job. */
        const val NO_INDEX = -1
    }
}
