package ledgearch.agents

import ledgearch.jobs.JobStore
import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.scheduling.Estimates
import ledgearch.wire.ExitCause
import ledgearch.wire.JobState
import ledgearch.wire.TaskReport
import ledgearch.wire.TaskState
import org.slf4j.LoggerFactory

/** What the workers' lists of tasks mean for the attempts that their leader knows. */
internal class TaskStatusHandler(
    private val jobStore: JobStore,
    private val machines: Map<String, Machine>,
    private val estimates: Estimates,
    private val recordWriter: RecordWriter,
    private val metrics: Metrics,
    private val clock: Clock,
    private val enqueue: (Machine) -> Unit,
    private val changed: () -> Unit,
    /** An attempt is gone with its machine or its session, not by its own end. */
    private val lost: (TaskAttempt) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    /** [m] has told all tasks on it. */
    fun listed(
        machine: Machine,
        entries: List<TaskReport>,
    ) {
        for (entry in entries) {
            val known = machine.attempts.get(entry.attempt)
            val attempt = known ?: found(machine, entry)
            attempt.listedAt = machine.sequence
            update(attempt, entry)
            // Its worker may be reporting to an earlier leader still, so it is told directly.
            if (known == null && attempt.stop != StopMode.NONE && !attempt.exited) enqueue(machine)
        }
        if (machine.attempts.values.all { it.listedAt == machine.sequence }) return
        for (attempt in machine.attempts.values.toList()) {
            if (attempt.listedAt == machine.sequence) continue
            // A start that is still on its way may arrive yet; it is sent again until it shows.
            if (attempt.reported ||
                (attempt.stop != StopMode.NONE && attempt.settled(machine.heartbeatSequence))
            ) {
                gone(attempt)
            }
        }
    }

    /** An attempt that an earlier leader started, or one of a job that is over. */
    private fun found(
        machine: Machine,
        entry: TaskReport,
    ): TaskAttempt {
        val id = entry.taskId.substringBefore('/')
        val index = entry.taskId.substringAfter('/', "").toIntOrNull() ?: -1
        val job = jobStore.jobs[id]?.takeIf { index in 0 until it.spec.taskCount && !it.attempts.containsKey(index) }
        val attempt = TaskAttempt(job, entry.taskId, index, entry.attempt, machine, clock.steadyMs, inherited = true)
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
        entry: TaskReport,
    ) {
        val first = !attempt.reported
        attempt.reported = true
        val job = attempt.job
        when (entry.state) {
            TaskState.FETCHING -> {
                if (first && job != null) attempt.machine.touchImage(job.spec.image, job.spec.imageGb)
                attempt.state = AttemptState.FETCHING
            }

            TaskState.RUNNING -> {
                if (attempt.state != AttemptState.RUNNING) {
                    attempt.runningSince = clock.steadyMs
                    attempt.state = AttemptState.RUNNING
                    log.debug("{} try {} runs on {}", attempt.taskId, attempt.number, attempt.machine.name)
                    if (job != null) {
                        attempt.machine.touchImage(job.spec.image, job.spec.imageGb)
                        // Hurried work goes where its image is.
                        if (attempt.machine.fetched.add(job.spec.image)) changed()
                    }
                }
            }

            TaskState.SAVING -> {
                attempt.state = AttemptState.SAVING
            }

            TaskState.EXITED -> {
                if (!attempt.exited) exited(attempt, entry.cause)
            }

            TaskState.UNRECOGNIZED -> {
                Unit
            }
        }
    }

    private fun exited(
        attempt: TaskAttempt,
        cause: ExitCause?,
    ) {
        attempt.state = AttemptState.EXITED
        attempt.cause = cause
        changed()
        metrics.count("task.exited.${cause?.text}")
        log.debug("{} try {} on {} exited: {}", attempt.taskId, attempt.number, attempt.machine.name, cause?.text)
        val job = attempt.job ?: return
        val machine = attempt.machine
        when (cause) {
            ExitCause.DONE -> {
                machine.errorJobs.clear()
                machine.consecutiveErrors = 0
                job.failedAttempts = 0
                // The job can be done, so where it failed the machine is at fault.
                job.errorMachines.forEach { name -> machines[name]?.let { blame(it, job) } }
                job.errorMachines.clear()
                if (!job.isService) {
                    if (attempt.runningSince > 0 && !attempt.inherited &&
                        job.spec.checkpointIntervalS == 0.0
                    ) {
                        estimates.ran(job, (clock.steadyMs - attempt.runningSince) / 1000.0)
                    }
                    job.finish(attempt.index)
                    if (!job.closed) recordWriter.progress(job)
                    if (job.complete) recordWriter.close(job, JobState.DONE)
                }
            }

            ExitCause.ERROR -> {
                failedTask(machine, job)
            }

            ExitCause.FULL, ExitCause.BUSY -> {
                machine.refusedUntil = clock.steadyMs + AgentTuning.REFUSED_MS
            }

            ExitCause.UNKNOWN_TASK -> {
                job.notBefore = clock.steadyMs + AgentTuning.REFUSED_MS
            }

            ExitCause.STOPPED, ExitCause.UNRECOGNIZED, null -> {
                Unit
            }
        }
        job.free(attempt)
    }

    private fun failedTask(
        machine: Machine,
        job: Job,
    ) {
        machine.errorJobs.add(job.id)
        machine.consecutiveErrors++
        job.errorMachines.add(machine.name)
        if (job.errorMachines.size >= AgentTuning.BAD_JOB_MACHINES) {
            // Fails wherever it goes: the job is at fault, and no machine is blamed for it.
            val pause = minOf(AgentTuning.BAD_JOB_MS shl minOf(job.failedAttempts, 6), AgentTuning.BAD_JOB_MAX_MS)
            job.failedAttempts++
            job.notBefore = clock.steadyMs + pause
            job.errorMachines.forEach { name ->
                machines[name]?.let {
                    it.errorJobs.remove(job.id)
                    it.consecutiveErrors = 0
                }
            }
            job.errorMachines.clear()
        } else {
            machine.refusedUntil = clock.steadyMs + AgentTuning.ERROR_PAUSE_MS
            blame(machine, job)
        }
    }

    /** Quarantines [m] when several jobs failed on it in a row, or several tasks of one that is done elsewhere. */
    private fun blame(
        machine: Machine,
        job: Job,
    ) {
        val several = machine.errorJobs.size >= AgentTuning.SICK_ERRORS
        val provenElsewhere =
            machine.consecutiveErrors >= AgentTuning.SICK_ERRORS && job.id in machine.errorJobs && !job.finished.isEmpty
        if (machine.quarantined || !(several || provenElsewhere)) return
        log.warn(
            "machine {} fails everything ({} tasks in a row); it is put aside",
            machine.name,
            machine.consecutiveErrors,
        )
        machine.quarantined = true
        // The next leader is to know it too: it would have to fail its own tasks there to find out.
        recordWriter.bind(machine)
    }

    /** [p] is provably on its machine no more, and no start of it can arrive. */
    fun gone(attempt: TaskAttempt) {
        if (!attempt.exited) {
            metrics.count("task.lost")
            log.debug("{} try {} is gone from {}", attempt.taskId, attempt.number, attempt.machine.name)
            if (attempt.stop == StopMode.NONE) lost(attempt)
        }
        attempt.machine.detach(attempt)
        attempt.job?.free(attempt)
        changed()
    }
}
