package ledgearch.agents

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Attributes task failures to the machine or to the job, and quarantines that machine or delays that job. */
internal class TaskFailures(
    private val machines: Map<String, Machine>,
    private val recordWriter: RecordWriter,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /** Records that a task of [job] has completed on [machine]. */
    fun recordSuccess(
        machine: Machine,
        job: Job,
    ) {
        resetFailures(machine)
        job.consecutivePauses = 0
        // Since the job's tasks can complete, the machines on which they failed may be faulty.
        job.failedMachineNames.forEach { name -> machines[name]?.let { quarantineIfFaulty(it, job) } }
        job.failedMachineNames.clear()
    }

    private fun resetFailures(machine: Machine) {
        machine.failedJobIds.clear()
        machine.consecutiveFailures = 0
    }

    /** Records that a task of [job] has failed on [machine]. */
    fun recordFailure(
        machine: Machine,
        job: Job,
    ) {
        machine.failedJobIds.add(job.id)
        machine.consecutiveFailures++
        job.failedMachineNames.add(machine.name)
        if (job.failedMachineNames.size >= AgentTuning.FAILED_MACHINES_FOR_JOB_DELAY) {
            delay(job)
        } else {
            machine.startsPausedUntilMs = clock.steadyMs + AgentTuning.FAILED_TASK_PAUSE_MS
            quarantineIfFaulty(machine, job)
        }
    }

    /** Delays [job], which fails on every machine, and removes its failures from the counts of the machines. */
    private fun delay(job: Job) {
        val doublings = minOf(job.consecutivePauses, AgentTuning.MAX_JOB_DELAY_DOUBLINGS)
        val delayMs = minOf(AgentTuning.FIRST_JOB_DELAY_MS shl doublings, AgentTuning.MAX_JOB_DELAY_MS)
        job.consecutivePauses++
        job.pausedUntilMs = clock.steadyMs + delayMs
        for (name in job.failedMachineNames) {
            val machine = machines[name] ?: continue
            machine.failedJobIds.remove(job.id)
            machine.consecutiveFailures = 0
        }
        job.failedMachineNames.clear()
    }

    /**
     * Quarantines [machine] if, without a success between, several jobs failed on it, or several tasks including one of
     * [job], which completes elsewhere.
     */
    private fun quarantineIfFaulty(
        machine: Machine,
        job: Job,
    ) {
        if (machine.isQuarantined || !(hasFailedSeveralJobs(machine) || hasFailedCompletableJob(machine, job))) return
        log.warn(
            "machine quarantined: several jobs fail on it, or tasks that complete elsewhere; machine={} failures={}",
            machine.name,
            machine.consecutiveFailures,
        )
        machine.isQuarantined = true
        // Recorded for the next leader, which would otherwise find out only by failures of its own.
        recordWriter.putMachine(machine)
    }

    private fun hasFailedSeveralJobs(machine: Machine) =
        machine.failedJobIds.size >= AgentTuning.FAILURES_FOR_QUARANTINE

    private fun hasFailedCompletableJob(
        machine: Machine,
        job: Job,
    ) = machine.consecutiveFailures >= AgentTuning.FAILURES_FOR_QUARANTINE && job.id in machine.failedJobIds &&
        !job.finishedTasks.isEmpty
}
