package ledgearch.control

import ledgearch.autoscaling.Autoscaler
import ledgearch.autoscaling.Headroom
import ledgearch.jobs.JobStore
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.runtime.StallCompensation
import ledgearch.scheduling.Placer
import ledgearch.scheduling.SpotReliability

/** Decides when a placement pass runs, and keeps what a pass is based on up to date: guarantees and spot risk. */
internal class PlacementLoop(
    private val jobStore: JobStore,
    private val registry: MachineRegistry,
    private val placer: Placer,
    private val teams: TeamQuotas,
    private val reliability: SpotReliability,
    private val headroom: Headroom,
    private val autoscaler: Autoscaler,
    private val clock: Clock,
    private val stalls: StallCompensation,
    private val metrics: Metrics,
) {
    private var passRequested = true
    private var guaranteesOutdated = true
    private var passAt = Long.MIN_VALUE / 2
    private var reliabilityUpdatedAt = 0L

    /** Something has changed that may let pending tasks start: the next pass is not put off until it is due by time. */
    fun requestPass() {
        passRequested = true
    }

    /** The set of open jobs has changed, and with it what fits into the teams' guarantees. */
    fun invalidateGuarantees() {
        guaranteesOutdated = true
    }

    /** Counts the hours of spot machines, from which their rate of loss is estimated; does so in intervals. */
    fun updateReliability() {
        if (clock.steadyMs - reliabilityUpdatedAt <= ControlTuning.COUNT_MS) return
        reliabilityUpdatedAt = clock.steadyMs
        reliability.addMachineHours(registry.machines.values, clock.steadyMs)
        chooseSheltered()
    }

    /** Runs a pass when something has changed, and in intervals since time alone may make a placement possible. */
    fun drive() {
        if (!passRequested && clock.steadyMs - passAt < ControlTuning.IDLE_PASS_MS) return
        if (!stalls.mayPass()) return
        passAt = clock.steadyMs
        passRequested = false
        if (guaranteesOutdated) {
            guaranteesOutdated = false
            teams.countGuarantees(jobStore.jobs.values)
            chooseSheltered()
        }
        teams.countUnfound(jobStore.jobs.values)
        stalls.passed(metrics.timed { placer.pass(jobStore.jobs.values) })
    }

    private fun chooseSheltered() =
        metrics.spend("reliability") {
            reliability.chooseOnDemandJobs(
                jobStore.jobs.values.filter { !it.waitsForOthers },
                registry.machines.values,
                headroom.onDemandCpus(autoscaler.bootS()),
            )
        }
}
