package ledgearch.core

import ledgearch.Tuning
import ledgearch.core.placement.Estimates
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
    private val now: Now,
    private val want: (Machine) -> Unit,
    private val changed: () -> Unit,
    /** An attempt is gone with its machine or its session, not by its own end. */
    private val lost: (TaskAttempt) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    /** [m] has told all tasks on it. */
    fun listed(
        m: Machine,
        entries: List<TaskReport>,
    ) {
        for (entry in entries) {
            val known = m.attempts.get(entry.attempt)
            val p = known ?: found(m, entry)
            p.listedAt = m.sequence
            update(p, entry)
            // Its worker may be reporting to an earlier leader still, so it is told directly.
            if (known == null && p.stop != StopMode.NONE && !p.exited) want(m)
        }
        if (m.attempts.values.all { it.listedAt == m.sequence }) return
        for (p in m.attempts.values.toList()) {
            if (p.listedAt == m.sequence) continue
            // A start that is still on its way may arrive yet; it is sent again until it shows.
            if (p.seen || (p.stop != StopMode.NONE && p.settled(m.reportSequence))) gone(p)
        }
    }

    /** An attempt that an earlier leader started, or one of a job that is over. */
    private fun found(
        m: Machine,
        entry: TaskReport,
    ): TaskAttempt {
        val id = entry.taskId.substringBefore('/')
        val index = entry.taskId.substringAfter('/', "").toIntOrNull() ?: -1
        val job = jobStore.jobs[id]?.takeIf { index in 0 until it.spec.taskCount && !it.attempts.containsKey(index) }
        val p = TaskAttempt(job, entry.taskId, index, entry.attempt, m, now.steady, inherited = true)
        m.attach(p)
        if (job == null) {
            p.stop = StopMode.AT_ONCE
        } else {
            if (job.finished.get(index)) p.stop = StopMode.AT_ONCE
            job.place(p)
            if (job.record.cancelRequested) p.stop = StopMode.AT_ONCE
        }
        return p
    }

    private fun update(
        p: TaskAttempt,
        entry: TaskReport,
    ) {
        val first = !p.seen
        p.seen = true
        val job = p.job
        when (entry.state) {
            TaskState.FETCHING -> {
                if (first && job != null) p.machine.touchImage(job.spec.image, job.spec.imageGb)
                p.state = AttemptState.FETCHING
            }

            TaskState.RUNNING -> {
                if (p.state != AttemptState.RUNNING) {
                    p.runningSince = now.steady
                    p.state = AttemptState.RUNNING
                    log.debug("{} try {} runs on {}", p.taskId, p.number, p.machine.name)
                    if (job != null) {
                        p.machine.touchImage(job.spec.image, job.spec.imageGb)
                        // Hurried work goes where its image is.
                        if (p.machine.fetched.add(job.spec.image)) changed()
                    }
                }
            }

            TaskState.SAVING -> {
                p.state = AttemptState.SAVING
            }

            TaskState.EXITED -> {
                if (!p.exited) exited(p, entry.cause)
            }

            TaskState.UNRECOGNIZED -> {
                Unit
            }
        }
    }

    private fun exited(
        p: TaskAttempt,
        cause: ExitCause?,
    ) {
        p.state = AttemptState.EXITED
        p.cause = cause
        changed()
        metrics.count("task.exited.${cause?.text}")
        log.debug("{} try {} on {} exited: {}", p.taskId, p.number, p.machine.name, cause?.text)
        val job = p.job ?: return
        val m = p.machine
        when (cause) {
            ExitCause.DONE -> {
                m.errorJobs.clear()
                m.errorsInRow = 0
                job.badTries = 0
                // The job can be done, so where it failed the machine is at fault.
                job.errorMachines.forEach { name -> machines[name]?.let { blame(it, job) } }
                job.errorMachines.clear()
                if (!job.isService) {
                    if (p.runningSince > 0 && !p.inherited &&
                        job.spec.checkpointIntervalS == 0.0
                    ) {
                        estimates.ran(job, (now.steady - p.runningSince) / 1000.0)
                    }
                    job.finish(p.index)
                    if (!job.closed) recordWriter.progress(job)
                    if (job.complete) recordWriter.close(job, JobState.DONE)
                }
            }

            ExitCause.ERROR -> {
                failedTask(m, job)
            }

            ExitCause.FULL, ExitCause.BUSY -> {
                m.refusedUntil = now.steady + Tuning.REFUSED_MS
            }

            ExitCause.UNKNOWN_TASK -> {
                job.notBefore = now.steady + Tuning.REFUSED_MS
            }

            ExitCause.STOPPED, ExitCause.UNRECOGNIZED, null -> {
                Unit
            }
        }
        job.free(p)
    }

    private fun failedTask(
        m: Machine,
        job: Job,
    ) {
        m.errorJobs.add(job.id)
        m.errorsInRow++
        job.errorMachines.add(m.name)
        if (job.errorMachines.size >= Tuning.BAD_JOB_MACHINES) {
            // Fails wherever it goes: the job is at fault, and no machine is blamed for it.
            val pause = minOf(Tuning.BAD_JOB_MS shl minOf(job.badTries, 6), Tuning.BAD_JOB_MAX_MS)
            job.badTries++
            job.notBefore = now.steady + pause
            job.errorMachines.forEach { name ->
                machines[name]?.let {
                    it.errorJobs.remove(job.id)
                    it.errorsInRow = 0
                }
            }
            job.errorMachines.clear()
        } else {
            m.refusedUntil = now.steady + Tuning.ERROR_PAUSE_MS
            blame(m, job)
        }
    }

    /** Quarantines [m] when several jobs failed on it in a row, or several tasks of one that is done elsewhere. */
    private fun blame(
        m: Machine,
        job: Job,
    ) {
        val several = m.errorJobs.size >= Tuning.SICK_ERRORS
        val provenElsewhere = m.errorsInRow >= Tuning.SICK_ERRORS && job.id in m.errorJobs && !job.finished.isEmpty
        if (m.draining || !(several || provenElsewhere)) return
        log.warn("machine {} fails everything ({} tasks in a row); it is put aside", m.name, m.errorsInRow)
        m.draining = true
        // The next leader is to know it too: it would have to fail its own tasks there to find out.
        recordWriter.bind(m)
    }

    /** [p] is provably on its machine no more, and no start of it can arrive. */
    fun gone(p: TaskAttempt) {
        if (!p.exited) {
            metrics.count("task.lost")
            log.debug("{} try {} is gone from {}", p.taskId, p.number, p.machine.name)
            if (p.stop == StopMode.NONE) lost(p)
        }
        p.machine.detach(p)
        p.job?.free(p)
        changed()
    }
}
