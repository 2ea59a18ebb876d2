package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import kotlin.math.exp

/** How often spot machines are lost, from what was seen, and what that means for a job. */
internal class Reliability(
    private val estimates: Estimates,
    private val ranking: Ranking,
) {
    private var hours = SchedulingTuning.LOSS_PRIOR_HOURS
    private var losses = SchedulingTuning.LOSS_PRIOR_HOURS * SchedulingTuning.LOSS_PRIOR_RATE
    private var countedAt = 0L
    private var spotMachines = 0

    /** Losses that still count in the present window, which began at the given steady ms. */
    private var windowAt = Long.MIN_VALUE / 2
    private var windowLeft = 0.0

    fun count(
        machines: Collection<Machine>,
        nowMs: Long,
    ) {
        spotMachines = machines.count { it.spot }
        if (countedAt != 0L) hours += spotMachines * (nowMs - countedAt) / MS_PER_HOUR
        countedAt = nowMs
    }

    /**
     * Hundreds lost at once, with a zone or a wave of takings, are one event: counted one by one they would look like a
     * rate of loss and move all work off spot machines for the rest of the day.
     */
    fun lost(
        machine: Machine,
        nowMs: Long,
    ) {
        if (!machine.spot) return
        if (nowMs - windowAt > SchedulingTuning.LOSS_WINDOW_MS) {
            windowAt = nowMs
            windowLeft =
                SchedulingTuning.LOSSES_ALONE +
                SchedulingTuning.LOSSES_TIMES * losses / hours * spotMachines * SchedulingTuning.LOSS_WINDOW_MS /
                MS_PER_HOUR
        }
        if (windowLeft < 1.0) return
        windowLeft -= 1.0
        losses += 1.0
    }

    /** More likely than not the job would lose a task on spot machines, and be late by as much as it had run. */
    private fun spotIsRisky(job: Job): Boolean = expectedLosses(job) > SchedulingTuning.EXPECTED_LOSSES

    private fun expectedLosses(job: Job) =
        losses / hours * estimates.seconds(job) / SECONDS_PER_HOUR * (job.spec.taskCount - job.finishedCount)

    /** Risky jobs that ordinary machines have room for, as last chosen. */
    private val sheltered = HashSet<Job>()

    /** Jobs that should be sheltered, room or not. */
    private val exposed = HashSet<Job>()

    /**
     * Chooses the risky jobs that are to keep to ordinary machines, of which [reserved] processors are left to work
     * that may go nowhere else. A job that is half on spot machines loses tasks nearly as often as one that is there as
     * a whole, so a share of each would help none: jobs are taken whole, first those that gain most by what they take
     * up. One that would meet its aims all the same gains nothing.
     */
    fun shelter(
        jobs: Collection<Job>,
        machines: Collection<Machine>,
        reserved: Double,
    ) {
        sheltered.clear()
        exposed.clear()
        var room =
            machines.sumOf { if (it.spot || !it.inService) 0.0 else it.machineType.vcpus } - reserved -
                jobs.sumOf { if (it.spec.allowsSpot) 0.0 else cpus(it) }
        val gains =
            jobs.filter { it.spec.allowsSpot && !it.complete && spotIsRisky(it) }.map { it to gain(it) }.filter {
                it.second >
                    0
            }
        for ((job, _) in gains.sortedByDescending { it.second }) {
            val cpus = cpus(job)
            exposed.add(job)
            if (cpus > room) continue
            room -= cpus
            sheltered.add(job)
        }
    }

    private fun cpus(job: Job) = job.spec.vcpus * (job.spec.taskCount - job.finishedCount)

    /** How many fewer aims the job is likely to miss, by the processor time that it takes. */
    private fun gain(job: Job): Double {
        val seconds = estimates.seconds(job)
        val missed =
            (
                if (job.runTime.tasks >
                    0
                ) {
                    SchedulingTuning.RUN_TIMES_KNOWN
                } else {
                    SchedulingTuning.RUN_TIMES_GUESSED
                }
            ).map { missedOnSpot(job, seconds * it) }.average()
        return missed / (cpus(job) * seconds).coerceAtLeast(1.0)
    }

    /** Aims that the job is likely to miss on spot machines if its tasks take [seconds]. */
    private fun missedOnSpot(
        job: Job,
        seconds: Double,
    ): Double {
        val lossesATask = losses / hours * seconds / SECONDS_PER_HOUR
        val expected = lossesATask * (job.spec.taskCount - job.finishedCount)
        // Lost tasks put off the end: the last of them, and the last lost once more, and so on.
        var lost = expected
        var delay = 0.0
        while (lost > SchedulingTuning.EXPECTED_LOSSES && delay < SchedulingTuning.MOST_DELAY_S) {
            delay += seconds * lost / (lost + 1) + SchedulingTuning.FOUND_OUT_S
            lost *= lossesATask
        }
        return (1 - exp(-expected)) * ranking.missedByLoss(job, seconds, delay)
    }

    /** Spot machines come first for [job]: it is in little danger there, or ordinary ones are for others. */
    fun spotFirst(job: Job) = job !in sheltered

    /** Ordinary machines are worth keeping for [job]. */
    fun wantsOrdinary(job: Job) = !job.spec.allowsSpot || job in exposed

    private companion object {
        const val MS_PER_HOUR = 3_600_000.0
        const val SECONDS_PER_HOUR = 3_600.0
    }
}
