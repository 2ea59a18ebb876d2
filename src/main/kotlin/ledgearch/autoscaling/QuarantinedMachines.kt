package ledgearch.autoscaling

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.runtime.Clock

/**
 * Decides which quarantined machines are emptied and returned. Suspicion may be wrong and a release can't be undone, so
 * a machine without which a job would have nowhere to run is kept.
 */
internal class QuarantinedMachines(
    private val jobStore: JobStore,
    private val clock: Clock,
) {
    /** Returns whether [machine], which is quarantined, may be emptied and returned, while [inService] stay. */
    fun mayReturn(
        machine: Machine,
        inService: List<Machine>,
    ): Boolean = isCertain(machine) && inService.isNotEmpty() && canReplace(machine, inService)

    /**
     * Returns whether the evidence against [machine] is certain: jobs that fail on it work elsewhere, or the jobs had
     * time to fail on other machines too, which would have ended the quarantine.
     */
    private fun isCertain(machine: Machine): Boolean {
        val quarantine = machine.quarantine ?: return false
        return quarantine.isCertain ||
            clock.steadyMs - quarantine.sinceMs >= AutoscalingTuning.UNCERTAIN_QUARANTINE_MS
    }

    /** Returns whether every open job that [machine] could run could also run on one of [inService]. */
    private fun canReplace(
        machine: Machine,
        inService: List<Machine>,
    ): Boolean =
        jobStore.jobs.values.none { job ->
            machine.couldRun(job) && inService.none { it.couldRun(job) && mayReplace(machine, it, job) }
        }

    private fun mayReplace(
        machine: Machine,
        other: Machine,
        job: Job,
    ) = other.zone == machine.zone || !job.restrictsZonesTogether
}
