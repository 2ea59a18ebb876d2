package ledgearch.control

import ledgearch.autoscaling.Autoscaler
import ledgearch.autoscaling.Headroom
import ledgearch.jobs.JobStore
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.Metrics
import ledgearch.scheduling.Placer
import ledgearch.scheduling.SpotReliability

/** Decides when a placement pass runs, and updates the passes' input: team guarantees and spot reliability. */
internal class PlacementLoop(
    private val jobStore: JobStore,
    private val machineRegistry: MachineRegistry,
    private val placer: Placer,
    private val teams: TeamQuotas,
    private val reliability: SpotReliability,
    private val headroom: Headroom,
    private val autoscaler: Autoscaler,
    private val clock: Clock,
    private val lagMonitor: EventLoopLagMonitor,
    private val metrics: Metrics,
) {
    private var isPassRequested = true
    private var areGuaranteesOutdated = true
    private var lastPassAtMs = Long.MIN_VALUE / 2
    private var reliabilityUpdatedAtMs = 0L

    /** Requests a pass before the idle interval is over; called after a change that may let pending tasks start. */
    fun requestPass() {
        isPassRequested = true
    }

    /** Marks the teams' guarantees for a recount; called when the set of open jobs has changed. */
    fun invalidateGuarantees() {
        areGuaranteesOutdated = true
    }

    /** Counts, once per interval, the hours of spot machines, from which their loss rate is estimated. */
    fun updateReliability() {
        if (clock.steadyMs - reliabilityUpdatedAtMs <= ControlTuning.RELIABILITY_UPDATE_INTERVAL_MS) return
        reliabilityUpdatedAtMs = clock.steadyMs
        reliability.addMachineHours(machineRegistry.machines.values, clock.steadyMs)
        updateOnDemandJobs()
    }

    /** Runs a pass if one was requested or the idle interval is over, and the pacing of passes allows it. */
    fun runDueWork() {
        if (!isPassRequested && clock.steadyMs - lastPassAtMs < ControlTuning.IDLE_PASS_INTERVAL_MS) return
        if (!lagMonitor.tryStartPass()) return
        lastPassAtMs = clock.steadyMs
        isPassRequested = false
        if (areGuaranteesOutdated) {
            areGuaranteesOutdated = false
            teams.updateGuarantees(jobStore.jobs.values)
            updateOnDemandJobs()
        }
        teams.countUnaccounted(jobStore.jobs.values)
        lagMonitor.recordPassDuration(metrics.measureMs { placer.runPass(jobStore.jobs.values) })
    }

    private fun updateOnDemandJobs() =
        metrics.measure("reliability") {
            reliability.chooseOnDemandJobs(
                jobStore.jobs.values.filter { !it.isBlockedByDependencies },
                machineRegistry.machines.values,
                headroom.expectedOnDemandCpus(autoscaler.shortestBootS()),
            )
        }
}
