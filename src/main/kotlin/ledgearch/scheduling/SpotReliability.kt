package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import kotlin.math.exp

/**
 * Estimates the loss rate of spot machines from observation, and chooses the jobs that should run on on-demand machines
 * because of it.
 */
internal class SpotReliability(
    private val estimates: RunTimeEstimates,
    private val ranking: Ranking,
) {
    /** Observed spot machine hours, and the losses counted in them; both start with the prior. */
    private var machineHours = SchedulingTuning.PRIOR_LOSS_MACHINE_HOURS
    private var losses = SchedulingTuning.PRIOR_LOSS_MACHINE_HOURS * SchedulingTuning.PRIOR_LOSSES_PER_MACHINE_HOUR

    /** Steady ms up to which [machineHours] are counted; 0 before the first count. */
    private var countedUntilMs = 0L
    private var spotMachineCount = 0

    /** Steady ms at which the current loss window began. */
    private var windowStartMs = Long.MIN_VALUE / 2

    /** Number of losses that can still be counted in the current window. */
    private var windowLossesLeft = 0.0

    /** Jobs at risk that are placed on on-demand machines, as of the last choice. */
    private val onDemandJobs = HashSet<Job>()

    /** Jobs at risk that would gain by on-demand machines, whether or not they have room for them. */
    private val gainingJobs = HashSet<Job>()

    /** Adds the hours of the spot machines among all [machines] from the last call to [nowMs] (steady). */
    fun addMachineHours(
        machines: Collection<Machine>,
        nowMs: Long,
    ) {
        spotMachineCount = machines.count { it.spot }
        if (countedUntilMs != 0L) machineHours += spotMachineCount * (nowMs - countedUntilMs) / MS_PER_HOUR
        countedUntilMs = nowMs
    }

    /**
     * Records the loss of [machine] at [nowMs] (steady). The number of losses counted per window is limited: hundreds
     * at once, with a zone or in a burst of spot preemptions, are one event, and counting them all would raise the rate
     * so far that all work would avoid spot machines for the rest of the day.
     */
    fun recordLoss(
        machine: Machine,
        nowMs: Long,
    ) {
        if (!machine.spot) return
        if (nowMs - windowStartMs > SchedulingTuning.LOSS_WINDOW_MS) {
            windowStartMs = nowMs
            windowLossesLeft = SchedulingTuning.MIN_WINDOW_LOSSES + additionalWindowLosses()
        }
        if (windowLossesLeft < 1.0) return
        windowLossesLeft -= 1.0
        losses += 1.0
    }

    /**
     * Chooses the jobs at risk that are placed on on-demand machines, where [reservedCpus] processors are kept for jobs
     * that may not run on spot machines. A job half on spot machines loses tasks nearly as often as one entirely there,
     * so whole jobs are chosen, those with the highest gain for the processor seconds they use first. A job that would
     * meet its service-level objectives anyway gains nothing.
     */
    fun chooseOnDemandJobs(
        jobs: Collection<Job>,
        machines: Collection<Machine>,
        reservedCpus: Double,
    ) {
        onDemandJobs.clear()
        gainingJobs.clear()
        var freeCpus =
            machines.sumOf { if (it.spot || !it.isInService) 0.0 else it.machineType.vcpus } - reservedCpus -
                jobs.sumOf { if (it.spec.allowsSpot) 0.0 else unfinishedCpus(it) }
        for (gaining in sortByGain(jobs)) {
            val job = gaining.job
            val cpus = unfinishedCpus(job)
            gainingJobs.add(job)
            if (cpus > freeCpus) continue
            freeCpus -= cpus
            onDemandJobs.add(job)
        }
    }

    /** Returns whether tasks of [job] go to spot machines first: it was not chosen for on-demand machines. */
    fun placesOnSpotFirst(job: Job): Boolean = job !in onDemandJobs

    /**
     * Returns whether [job] must or should run on on-demand machines, so that keeping them in service is worthwhile.
     */
    fun shouldRunOnDemand(job: Job): Boolean = !job.spec.allowsSpot || job in gainingJobs

    private class GainingJob(
        val job: Job,
        /** Expected number of objectives missed due to spot losses, per processor second of remaining work. */
        val gain: Double,
    )

    /** Returns the jobs at risk on spot machines that gain by on-demand ones, those with the highest gain first. */
    private fun sortByGain(jobs: Collection<Job>): List<GainingJob> =
        jobs
            .filter { it.spec.allowsSpot && !it.isComplete && isAtRiskOnSpot(it) }
            .map { GainingJob(it, onDemandGain(it)) }
            .filter { it.gain > 0 }
            .sortedByDescending { it.gain }

    private fun isAtRiskOnSpot(job: Job): Boolean = expectedLosses(job) > SchedulingTuning.MAX_EXPECTED_LOSSES

    private fun expectedLosses(job: Job): Double =
        expectedLossesPerTask(estimates.expectedRunTimeS(job)) * unfinishedTasks(job)

    private fun expectedLossesPerTask(runTimeS: Double): Double = losses / machineHours * runTimeS / SECONDS_PER_HOUR

    /** Returns a multiple of the losses that the current rate predicts for all spot machines in one window. */
    private fun additionalWindowLosses(): Double =
        SchedulingTuning.WINDOW_LOSS_FACTOR * losses / machineHours * spotMachineCount *
            SchedulingTuning.LOSS_WINDOW_MS / MS_PER_HOUR

    private fun unfinishedTasks(job: Job): Int = job.spec.taskCount - job.finishedCount

    private fun unfinishedCpus(job: Job): Double = job.spec.vcpus * unfinishedTasks(job)

    private fun onDemandGain(job: Job): Double {
        val runTimeS = estimates.expectedRunTimeS(job)
        val factors =
            if (job.meanRunTime.taskCount > 0) {
                SchedulingTuning.OBSERVED_RUN_TIME_FACTORS
            } else {
                SchedulingTuning.ESTIMATED_RUN_TIME_FACTORS
            }
        val missed = factors.map { expectedMissedOnSpot(job, runTimeS * it) }.average()
        return missed / (unfinishedCpus(job) * runTimeS).coerceAtLeast(1.0)
    }

    /**
     * Returns the objectives that [job] is expected to miss on spot machines if its tasks run for [runTimeS] seconds.
     */
    private fun expectedMissedOnSpot(
        job: Job,
        runTimeS: Double,
    ): Double {
        val lossesPerTask = expectedLossesPerTask(runTimeS)
        val expectedLosses = lossesPerTask * unfinishedTasks(job)
        // The last task to be lost delays the end by the work it repeats, and further whenever it is lost again.
        var lost = expectedLosses
        var delayS = 0.0
        while (lost > SchedulingTuning.MAX_EXPECTED_LOSSES && delayS < SchedulingTuning.MAX_DELAY_S) {
            delayS += runTimeS * lost / (lost + 1) + SchedulingTuning.LOSS_DETECTION_S
            lost *= lossesPerTask
        }
        val lossProbability = 1 - exp(-expectedLosses)
        return lossProbability * ranking.countMissedByDelay(job, runTimeS, delayS)
    }

    private companion object {
        const val MS_PER_HOUR = 3_600_000.0
        const val SECONDS_PER_HOUR = 3_600.0
    }
}
