package ledgearch.agents

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.persistence.RecordWriter
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** Tells whether a task's failures are its machine's fault or its job's: quarantines the one, delays the other. */
internal class TaskFailures(
    private val machines: Map<String, Machine>,
    private val recordWriter: RecordWriter,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /** A task of [job] is done on [machine]. */
    fun succeeded(
        machine: Machine,
        job: Job,
    ) {
        clearFailures(machine)
        job.failedAttempts = 0
        // The job can be done, so where it failed the machine is at fault.
        job.errorMachines.forEach { name -> machines[name]?.let { quarantineIfFaulty(it, job) } }
        job.errorMachines.clear()
    }

    private fun clearFailures(machine: Machine) {
        machine.errorJobs.clear()
        machine.consecutiveErrors = 0
    }

    /** A task of [job] has failed on [machine]. */
    fun failed(
        machine: Machine,
        job: Job,
    ) {
        machine.errorJobs.add(job.id)
        machine.consecutiveErrors++
        job.errorMachines.add(machine.name)
        if (job.errorMachines.size >= AgentTuning.FAILING_JOB_MACHINES) {
            delay(job)
        } else {
            machine.refusedUntil = clock.steadyMs + AgentTuning.FAILURE_PAUSE_MS
            quarantineIfFaulty(machine, job)
        }
    }

    /** [job] fails wherever it is started: the job is at fault, and no machine is blamed for it. */
    private fun delay(job: Job) {
        val doublings = minOf(job.failedAttempts, AgentTuning.FAILING_JOB_DOUBLINGS)
        val pauseMs = minOf(AgentTuning.FAILING_JOB_MS shl doublings, AgentTuning.FAILING_JOB_MAX_MS)
        job.failedAttempts++
        job.notBefore = clock.steadyMs + pauseMs
        for (name in job.errorMachines) {
            val machine = machines[name] ?: continue
            machine.errorJobs.remove(job.id)
            machine.consecutiveErrors = 0
        }
        job.errorMachines.clear()
    }

    /**
     * Quarantines [machine] when several jobs failed on it in a row, or several tasks of one that is done elsewhere.
     */
    private fun quarantineIfFaulty(
        machine: Machine,
        job: Job,
    ) {
        if (machine.quarantined || !(failedSeveralJobs(machine) || failedProvenJob(machine, job))) return
        log.warn(
            "machine quarantined: tasks fail on it that are done elsewhere, or of several jobs; machine={} failures={}",
            machine.name,
            machine.consecutiveErrors,
        )
        machine.quarantined = true
        // The next leader is to know it too: it would have to fail its own tasks there to find out.
        recordWriter.putMachine(machine)
    }

    private fun failedSeveralJobs(machine: Machine) = machine.errorJobs.size >= AgentTuning.QUARANTINE_FAILURES

    private fun failedProvenJob(
        machine: Machine,
        job: Job,
    ) = machine.consecutiveErrors >= AgentTuning.QUARANTINE_FAILURES && job.id in machine.errorJobs &&
        !job.finished.isEmpty
}
