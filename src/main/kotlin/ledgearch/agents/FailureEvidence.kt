package ledgearch.agents

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.QuarantineCause
import ledgearch.runtime.Clock

/**
 * Weighs the failures of tasks: whether they show that a machine is faulty or that a job was submitted with a mistake.
 * Every verdict follows from the failures that are recorded now, so it ends with the evidence for it.
 */
internal class FailureEvidence(
    private val machines: Map<String, Machine>,
    private val clock: Clock,
) {
    /**
     * Returns why [machine] counts as faulty, or null: without a success between, several jobs failed on it, or several
     * tasks including one of a job that works elsewhere. Failures of tasks that fail everywhere do not count.
     */
    fun causeForQuarantine(machine: Machine): QuarantineCause? {
        machine.failures.removeBefore(clock.steadyMs - AgentTuning.FAILURE_EVIDENCE_TTL_MS)
        val countByJob = countByJob(machine)
        return when {
            countByJob.values.sum() < AgentTuning.FAILURES_FOR_QUARANTINE -> null
            countByJob.keys.any { it.hasWorked(clock.steadyMs) } -> QuarantineCause.COMPLETES_ELSEWHERE
            countByJob.size >= AgentTuning.FAILURES_FOR_QUARANTINE -> QuarantineCause.SEVERAL_JOBS
            else -> null
        }
    }

    private fun countByJob(machine: Machine): Map<Job, Int> =
        machine.failures.countByJob { job, index -> !failsEverywhere(job, index) }

    /**
     * Returns whether the task [index] of [job] fails on every machine. For a job of which nothing has worked yet, the
     * failures of all its tasks count.
     */
    fun failsEverywhere(
        job: Job,
        index: Int,
    ): Boolean {
        if (!job.hasWorked(clock.steadyMs)) return shouldDelay(job)
        return job.failures.machineCount(index) >= machinesToFailOn(job)
    }

    /** Returns whether tasks of [job] failed on so many machines, with none completed between, that it is delayed. */
    fun shouldDelay(job: Job): Boolean =
        job.isSuspect(clock.steadyMs) || unprovenMachinesFailedOn(job) >= machinesToFailOn(job)

    /** Returns the number of machines that [job] failed on and that are not known to be faulty. */
    private fun unprovenMachinesFailedOn(job: Job): Int =
        job.failures.machines
            .mapNotNull { machines[it] }
            .count(::isNotProvenFaulty)

    private fun isNotProvenFaulty(machine: Machine) = machine.quarantine?.isCertain != true

    /** Returns the number of machines on which a job must fail before its failures are blamed on itself. */
    private fun machinesToFailOn(job: Job): Int {
        val suitable =
            machines.values.asSequence().filter {
                it.isConfirmed && !it.isReleasing && isNotProvenFaulty(it) && it.couldRun(job)
            }
        return suitable
            .take(AgentTuning.FAILED_MACHINES_FOR_JOB_DELAY)
            .count()
            .coerceAtLeast(AgentTuning.MIN_FAILED_MACHINES_FOR_JOB_DELAY)
    }
}
