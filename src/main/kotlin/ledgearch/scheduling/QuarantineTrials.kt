package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.Quarantine
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import org.slf4j.LoggerFactory

/**
 * Starts single tasks on quarantined machines, so that a machine that was quarantined wrongly, or works again, returns
 * into use. Only tasks that wait for room elsewhere are risked.
 */
internal class QuarantineTrials(
    private val machines: Map<String, Machine>,
    private val clock: Clock,
    private val starter: TaskStarter,
    private val metrics: Metrics,
) {
    private val log = LoggerFactory.getLogger("ledgearch.scheduling")

    /** Starts at most one task of the [waiting] jobs, in their order, on each machine whose next trial is due. */
    fun run(waiting: List<Job>) {
        if (waiting.isEmpty()) return
        for (machine in machines.values) {
            val quarantine = machine.quarantine ?: continue
            if (quarantine.mayTry(clock.steadyMs) &&
                machine.isUsableForTrial(clock)
            ) {
                tryMachine(machine, quarantine, waiting)
            }
        }
    }

    private fun tryMachine(
        machine: Machine,
        quarantine: Quarantine,
        waiting: List<Job>,
    ) {
        val longWaiting = waiting.filter { it.msSinceLastStart(clock.wallMs) >= SchedulingTuning.MIN_WAIT_FOR_TRIAL_MS }
        // A job that has failed before would prove little by failing once more.
        val (withoutFailures, withFailures) = longWaiting.partition { it.failures.machines.isEmpty() }
        val job = (withoutFailures + withFailures).firstOrNull { startOne(it, machine) } ?: return
        val attempt = machine.attempts.get(machine.attempts.lastLongKey())
        quarantine.beginTrial(attempt, clock.steadyMs)
        metrics.count("quarantine.trial")
        log.info(
            "quarantined machine is tried; machine={} task={} attempt={} job={}",
            machine.name,
            attempt.taskId,
            attempt.number,
            job.id,
        )
    }

    private fun startOne(
        job: Job,
        machine: Machine,
    ): Boolean {
        val pendingCount = job.pendingCount
        starter.startOn(job, listOf(machine), keepPending = pendingCount - 1)
        return job.pendingCount < pendingCount
    }
}
