package ledgearch.agents

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.Quarantine
import ledgearch.model.QuarantineCause
import ledgearch.model.TaskAttempt
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import org.slf4j.LoggerFactory

/** Why a quarantine ended while its machine stayed in the cluster. */
internal enum class QuarantineEnd(
    /** Name in logs and metrics. */
    val label: String,
) {
    /** A task that was started as a trial has completed. */
    TRIAL_COMPLETED("trial_completed"),

    /** A task that was started as a trial runs well. */
    TRIAL_PASSED("trial_passed"),

    /** The jobs that failed on the machine fail everywhere, or were cancelled. */
    JOBS_TO_BLAME("jobs_to_blame"),

    /** No task has failed on the machine for long. */
    EVIDENCE_EXPIRED("evidence_expired"),
}

/** Attributes task failures to the machine or to the job: quarantines that machine or delays that job. */
internal class TaskFailures(
    private val machines: Map<String, Machine>,
    private val recordWriter: RecordWriter,
    private val metrics: Metrics,
    private val clock: Clock,
    /** Called when a quarantine has ended. */
    private val onQuarantineEnded: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")
    private val evidence = FailureEvidence(machines, clock)
    private var nextCheckAtMs = Long.MIN_VALUE

    /** Records that [attempt], a task of [job], has completed. */
    fun recordSuccess(
        attempt: TaskAttempt,
        job: Job,
    ) {
        val machine = attempt.machine
        if (machine.quarantine?.isTrial(attempt) == true) endQuarantineOf(machine, QuarantineEnd.TRIAL_COMPLETED)
        // Only a task that was started after a failure shows that the machine works again.
        if (!attempt.isInherited) machine.failures.removeBefore(attempt.assignedAtMs)
        val failedMachines = job.failures.machines.toList()
        job.failures.recordSuccess(attempt.index)
        // Since the job's tasks can complete, the machines on which they failed may be faulty.
        failedMachines.forEach { name -> machines[name]?.let(::review) }
    }

    /** Records that [attempt], a task of [job], has failed. */
    fun recordFailure(
        attempt: TaskAttempt,
        job: Job,
    ) {
        val machine = attempt.machine
        machine.failures.add(job, attempt.index, clock.steadyMs)
        job.failures.add(attempt.index, machine.name, clock.steadyMs)
        val failedMachines = job.failures.machines.toList()
        if (evidence.shouldDelay(job)) {
            delay(job)
        } else {
            machine.startsPausedUntilMs = clock.steadyMs + AgentTuning.FAILED_TASK_PAUSE_MS
        }
        if (machine.quarantine?.isTrial(attempt) == true) recordFailedTrial(machine, attempt, job)
        // The failure may also show that the job fails everywhere, and so take back what it showed of other machines.
        failedMachines.forEach { name -> machines[name]?.let(::review) }
    }

    /** Removes the failures of [job], which was closed, from the evidence unless its tasks have worked elsewhere. */
    fun onJobClosed(job: Job) {
        if (job.finishedCount > 0) return
        for (name in job.failures.machinesOfOpenTasks) {
            val machine = machines[name] ?: continue
            machine.failures.remove(job)
            review(machine)
        }
    }

    /**
     * Reviews the machines on which tasks have failed, when due: time alone can show that a job works elsewhere, that a
     * trial has passed or that no task has failed for long.
     */
    fun runDueWork() {
        if (clock.steadyMs < nextCheckAtMs) return
        nextCheckAtMs = clock.steadyMs + AgentTuning.QUARANTINE_CHECK_INTERVAL_MS
        for (machine in machines.values) {
            if (!machine.failures.isEmpty) review(machine)
            machine.quarantine?.let { endIfOver(machine, it) }
        }
    }

    private fun endIfOver(
        machine: Machine,
        quarantine: Quarantine,
    ) {
        if (quarantine.hasTrialPassed(clock.steadyMs)) {
            endQuarantineOf(machine, QuarantineEnd.TRIAL_PASSED)
        } else if (clock.steadyMs - quarantine.lastEvidenceAtMs >= AgentTuning.FAILURE_EVIDENCE_TTL_MS) {
            endQuarantineOf(machine, QuarantineEnd.EVIDENCE_EXPIRED)
        }
    }

    /** Delays [job], which fails on every machine; tasks that fail during the delay belong to the same round. */
    private fun delay(job: Job) {
        if (clock.steadyMs < job.pausedUntilMs) return
        val doublings = minOf(job.failures.consecutiveDelays, AgentTuning.MAX_JOB_DELAY_DOUBLINGS)
        val delayMs = minOf(AgentTuning.FIRST_JOB_DELAY_MS shl doublings, AgentTuning.MAX_JOB_DELAY_MS)
        job.failures.consecutiveDelays++
        job.pausedUntilMs = clock.steadyMs + delayMs
        metrics.count("job.delayed")
        log.info(
            "job delayed: its tasks failed on several machines and none completed between; job={} machines={} ms={}",
            job.id,
            job.failures.machines.size,
            delayMs,
        )
        // A job that has worked is delayed again only after it has failed on as many machines as before.
        if (job.hasWorked(clock.steadyMs)) job.failures.forgetMachines() else job.failures.failsEverywhere = true
    }

    private fun recordFailedTrial(
        machine: Machine,
        attempt: TaskAttempt,
        job: Job,
    ) {
        if (evidence.failsEverywhere(job, attempt.index)) return
        machine.quarantine?.recordFailedTrial(clock.steadyMs)
        metrics.count("quarantine.trial_failed")
    }

    /** Begins or ends the quarantine of [machine] if the evidence has changed accordingly. */
    private fun review(machine: Machine) {
        val cause = evidence.causeForQuarantine(machine)
        val quarantine = machine.quarantine
        if (quarantine == null) {
            if (cause != null) beginQuarantine(machine, cause)
        } else if (cause == QuarantineCause.COMPLETES_ELSEWHERE) {
            quarantine.markCertain(clock.steadyMs)
        } else if (cause == null && quarantine.cause != QuarantineCause.RECORDED) {
            endQuarantine(machine, quarantine, QuarantineEnd.JOBS_TO_BLAME)
        }
    }

    private fun beginQuarantine(
        machine: Machine,
        cause: QuarantineCause,
    ) {
        machine.quarantine = Quarantine(cause, clock.steadyMs)
        metrics.count("machine.quarantined.${cause.label}")
        log.warn(
            "machine quarantined: several jobs fail on it, or tasks that work elsewhere; machine={} cause={} jobs={}",
            machine.name,
            cause.label,
            machine.failures.jobIds(),
        )
        // Recorded for the next leader, which would otherwise find out only by failures of its own.
        recordWriter.putMachine(machine)
    }

    /** Removes all evidence against [machine], and ends its quarantine if there is one. */
    private fun endQuarantineOf(
        machine: Machine,
        reason: QuarantineEnd,
    ) {
        machine.failures.clear()
        machine.quarantine?.let { endQuarantine(machine, it, reason) }
    }

    private fun endQuarantine(
        machine: Machine,
        quarantine: Quarantine,
        reason: QuarantineEnd,
    ) {
        machine.quarantine = null
        metrics.count("machine.quarantine_ended.${reason.label}")
        log.info(
            "machine no longer quarantined; machine={} reason={} cause={} ms={}",
            machine.name,
            reason.label,
            quarantine.cause.label,
            clock.steadyMs - quarantine.sinceMs,
        )
        recordWriter.putMachine(machine)
        onQuarantineEnded()
    }
}
