package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import kotlin.math.exp

/**
 * How often spot machines are lost, from what was observed, and which jobs had therefore better run on on-demand
 * machines.
 */
internal class Reliability(
    private val estimates: Estimates,
    private val ranking: Ranking,
) {
    /** Machine hours observed and losses counted in them; both begin with a first guess. */
    private var hours = SchedulingTuning.LOSS_PRIOR_HOURS
    private var losses = SchedulingTuning.LOSS_PRIOR_HOURS * SchedulingTuning.LOSS_PRIOR_RATE

    /** Steady ms up to which [hours] are counted; 0 before the first time. */
    private var countedAt = 0L
    private var spotMachines = 0

    /** Steady ms at which the present window of losses began. */
    private var windowAt = Long.MIN_VALUE / 2

    /** Losses that still count in the present window. */
    private var windowLeft = 0.0

    /** Risky jobs that on-demand machines have room for, as last chosen. */
    private val onDemandJobs = HashSet<Job>()

    /** Risky jobs that had better run on on-demand machines, room or not, as last chosen. */
    private val wantingOnDemand = HashSet<Job>()

    /** [machines] are all there are at [nowMs], steady: adds the hours of the spot machines since the last call. */
    fun count(
        machines: Collection<Machine>,
        nowMs: Long,
    ) {
        spotMachines = machines.count { it.spot }
        if (countedAt != 0L) hours += spotMachines * (nowMs - countedAt) / MS_PER_HOUR
        countedAt = nowMs
    }

    /**
     * [machine] was lost at [nowMs], steady. Hundreds lost at once, with a zone or in a burst of spot preemptions, are
     * one event: counted one by one they would look like a rate of loss and move all work off spot machines for the
     * rest of the day.
     */
    fun lost(
        machine: Machine,
        nowMs: Long,
    ) {
        if (!machine.spot) return
        if (nowMs - windowAt > SchedulingTuning.LOSS_WINDOW_MS) {
            windowAt = nowMs
            windowLeft = SchedulingTuning.WINDOW_LOSSES + lossesCountedByRate()
        }
        if (windowLeft < 1.0) return
        windowLeft -= 1.0
        losses += 1.0
    }

    /**
     * Chooses the risky jobs that are to keep to on-demand machines, of which [reserved] processors are left to work
     * that may go nowhere else. A job that is half on spot machines loses tasks nearly as often as one that is there as
     * a whole, so a share of each would help none: jobs are taken whole, first those that gain most by what they take
     * up. One that would meet its service-level objectives all the same gains nothing.
     */
    fun chooseOnDemandJobs(
        jobs: Collection<Job>,
        machines: Collection<Machine>,
        reserved: Double,
    ) {
        onDemandJobs.clear()
        wantingOnDemand.clear()
        var freeCpus =
            machines.sumOf { if (it.spot || !it.inService) 0.0 else it.machineType.vcpus } - reserved -
                jobs.sumOf { if (it.spec.allowsSpot) 0.0 else unfinishedCpus(it) }
        for (gaining in gainingByOnDemand(jobs)) {
            val job = gaining.job
            val cpus = unfinishedCpus(job)
            wantingOnDemand.add(job)
            if (cpus > freeCpus) continue
            freeCpus -= cpus
            onDemandJobs.add(job)
        }
    }

    /** Spot machines come first for [job]: it is in little danger there, or on-demand ones are for others. */
    fun spotFirst(job: Job): Boolean = job !in onDemandJobs

    /** On-demand machines are worth keeping for [job]. */
    fun wantsOnDemand(job: Job): Boolean = !job.spec.allowsSpot || job in wantingOnDemand

    private class GainingJob(
        val job: Job,
        /** How many fewer objectives it is likely to miss, by the processor seconds that it takes. */
        val gain: Double,
    )

    /** Those that gain most come first. */
    private fun gainingByOnDemand(jobs: Collection<Job>): List<GainingJob> =
        jobs
            .filter { it.spec.allowsSpot && !it.complete && spotIsRisky(it) }
            .map { GainingJob(it, gainByOnDemand(it)) }
            .filter { it.gain > 0 }
            .sortedByDescending { it.gain }

    /** More likely than not the job would lose a task on spot machines, and be late by as much as it had run. */
    private fun spotIsRisky(job: Job): Boolean = expectedLosses(job) > SchedulingTuning.EXPECTED_LOSSES

    private fun expectedLosses(job: Job): Double = expectedLossesPerTask(estimates.seconds(job)) * unfinishedTasks(job)

    /** Of one task that takes [seconds]. */
    private fun expectedLossesPerTask(seconds: Double): Double = losses / hours * seconds / SECONDS_PER_HOUR

    /** A multiple of the losses that the rate so far gives for all spot machines in one window. */
    private fun lossesCountedByRate(): Double =
        SchedulingTuning.WINDOW_LOSS_FACTOR * losses / hours * spotMachines * SchedulingTuning.LOSS_WINDOW_MS /
            MS_PER_HOUR

    private fun unfinishedTasks(job: Job): Int = job.spec.taskCount - job.finishedCount

    private fun unfinishedCpus(job: Job): Double = job.spec.vcpus * unfinishedTasks(job)

    private fun gainByOnDemand(job: Job): Double {
        val seconds = estimates.seconds(job)
        val factors =
            if (job.runTime.tasks > 0) SchedulingTuning.RUN_TIMES_KNOWN else SchedulingTuning.RUN_TIMES_GUESSED
        val missed = factors.map { missedOnSpot(job, seconds * it) }.average()
        return missed / (unfinishedCpus(job) * seconds).coerceAtLeast(1.0)
    }

    /** Objectives that the job is likely to miss on spot machines if its tasks take [seconds]. */
    private fun missedOnSpot(
        job: Job,
        seconds: Double,
    ): Double {
        val lossesPerTask = expectedLossesPerTask(seconds)
        val expected = lossesPerTask * unfinishedTasks(job)
        // Lost tasks put off the end: the last of them, and the last lost once more, and so on.
        var lost = expected
        var delay = 0.0
        while (lost > SchedulingTuning.EXPECTED_LOSSES && delay < SchedulingTuning.MAX_DELAY_S) {
            delay += seconds * lost / (lost + 1) + SchedulingTuning.LOSS_DETECTION_S
            lost *= lossesPerTask
        }
        val chanceOfLoss = 1 - exp(-expected)
        return chanceOfLoss * ranking.missedByLoss(job, seconds, delay)
    }

    private companion object {
        const val MS_PER_HOUR = 3_600_000.0
        const val SECONDS_PER_HOUR = 3_600.0
    }
}
