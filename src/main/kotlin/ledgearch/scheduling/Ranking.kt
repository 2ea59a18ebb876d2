package ledgearch.scheduling

import ledgearch.config.Objective
import ledgearch.config.startWithinS
import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND

/**
 * Determines the order in which jobs are served. [ledgearch.model.LoadState]'s paper serves equal tasks in order of
 * arrival; here tasks differ, so within a priority, jobs in their team's guaranteed share come first, then those that
 * miss fewer service-level objectives, then those with less expected work, where waiting time counts in a job's favour.
 */
internal class Ranking(
    objectives: List<Objective>,
    private val estimates: RunTimeEstimates,
    private val clock: Clock,
    private val deadlines: Deadlines,
) {
    /** By class, the seconds within which a job is to be finished, ascending. */
    private val finishWithinS: Map<String, List<Double>> =
        objectives
            .filter { it.kind == "finished" && it.jobClass != null && it.withinS != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.withinS ?: 0.0 })
            .mapValues { it.value.sorted() }

    /** By class, the seconds within which a job is to be started. */
    private val startWithinS: Map<String, Double> = objectives.startWithinS()

    /** Seconds within which work in a team's guaranteed share is to be started. */
    private val startGuaranteedWithinS: Double? =
        objectives
            .filter { it.kind == "guarantee" }
            .mapNotNull { it.withinS }
            .minOrNull()

    /** Returns whether [job] is to start sooner than its image can be fetched, and the time for that has not passed. */
    fun isLatencySensitive(job: Job): Boolean {
        val withinS = startWithinS[job.spec.jobClass] ?: return false
        return withinS < imageFetchS(job) && waitedS(job) < withinS
    }

    /**
     * Returns whether [job], if in its team's guaranteed share, has waited long enough to preempt other teams' surplus:
     * half of the time in which it is to start, after subtracting the image fetch. Until then it is only served
     * first within its priority, and usually enough room becomes free without preemption.
     */
    fun mayClaimGuarantee(job: Job): Boolean {
        val withinS = startGuaranteedWithinS ?: return true
        return waitedS(job) >= (withinS - imageFetchS(job)) / 2
    }

    /**
     * Returns whether [job] is an array that has waited for less than [maxWaitS] seconds and for less than half of the
     * time in which it is to start.
     */
    fun canWait(
        job: Job,
        maxWaitS: Double,
    ): Boolean =
        !job.isService && waitedS(job) < minOf(maxWaitS, (startWithinS[job.spec.jobClass] ?: Double.MAX_VALUE) / 2)

    /**
     * Returns whether no task of [job] was started for so long that it is served before all others. Without this bound
     * a steady stream of small or more urgent jobs would keep a large job waiting forever.
     */
    fun isStarved(job: Job): Boolean = job.msSinceLastStart(clock.wallMs) > SchedulingTuning.STARVATION_MS

    private class RankedJob(
        val job: Job,
        val missedObjectives: Int,
        val costCpuS: Double,
    )

    /** Returns [jobs], all of one priority, in serving order. */
    fun sortByRank(jobs: List<Job>): List<Job> =
        jobs
            .map { RankedJob(it, countMissedIfStartedNow(it), costCpuS(it)) }
            .sortedWith(compareBy({ !it.job.isGuaranteed }, { it.missedObjectives }, { it.costCpuS }, { it.job.id }))
            .map { it.job }

    /** Returns how many of its objectives [job] would miss even if it started now. */
    private fun countMissedIfStartedNow(job: Job): Int =
        if (job.isService) {
            0
        } else {
            countMissedObjectives(job, waitedS(job) + estimates.expectedRunTimeS(job))
        }

    /** Returns how many more objectives [job] misses if a task that has run for [elapsedS] seconds is restarted. */
    fun countMissedByRestart(
        job: Job,
        elapsedS: Double,
    ): Int {
        if (job.isService) return 0
        val endS = waitedS(job) + estimates.expectedRunTimeS(job)
        return countMissedObjectives(job, endS) - countMissedObjectives(job, endS - elapsedS)
    }

    /**
     * Returns how many more objectives [job], whose tasks run for [runTimeS] seconds, misses if its end is delayed by
     * [delayS] seconds.
     */
    fun countMissedByDelay(
        job: Job,
        runTimeS: Double,
        delayS: Double,
    ): Int {
        if (job.isService) return 0
        val endS = runTimeS + if (job.attempts.isEmpty()) waitedS(job) else 0.0
        return countMissedObjectives(job, endS + delayS) - countMissedObjectives(job, endS)
    }

    /** Returns the seconds since [job] became ready to start. */
    private fun waitedS(job: Job): Double = (clock.wallMs - job.readyAtMs) / MS_PER_SECOND

    private fun imageFetchS(job: Job): Double = job.spec.imageGb * SchedulingTuning.IMAGE_FETCH_S_PER_GB

    /** Returns how many objectives [job] misses if it ends [endS] seconds after it became ready to start. */
    private fun countMissedObjectives(
        job: Job,
        endS: Double,
    ): Int {
        var missed = 0
        finishWithinS[job.spec.jobClass]?.forEach { if (endS > it) missed++ }
        val wallEndS = job.readyAtMs / MS_PER_SECOND + endS
        deadlines.latestEndsS(job).forEach { if (wallEndS > it) missed++ }
        return missed
    }

    /** Returns the processor seconds of the pending tasks, less a credit for the time waited. */
    private fun costCpuS(job: Job): Double {
        val waitedS = waitedS(job)
        if (job.isService) return -waitedS
        val workCpuS = job.pendingCount * job.spec.vcpus * estimates.expectedRunTimeS(job)
        return workCpuS - waitedS * job.spec.vcpus * job.spec.taskCount * SchedulingTuning.WAITING_CREDIT_RATE
    }
}
