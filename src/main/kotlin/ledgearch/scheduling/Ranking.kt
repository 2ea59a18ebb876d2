package ledgearch.scheduling

import ledgearch.config.Objective
import ledgearch.config.startWithinS
import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND

/**
 * The order in which jobs are served. The paper's queues are first-come with equal tasks; here tasks differ, so within
 * a priority a job that can still meet its service-level objectives goes before one that can't, and less expected work
 * before more, with waiting counted in a job's favour.
 */
internal class Ranking(
    objectives: List<Objective>,
    private val estimates: Estimates,
    private val clock: Clock,
    private val deadlines: Deadlines,
) {
    /** By class, the seconds after which a job is to be finished, ascending. */
    private val finishWithin: Map<String, List<Double>> =
        objectives
            .filter { it.kind == "finished" && it.jobClass != null && it.withinS != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.withinS ?: 0.0 })
            .mapValues { it.value.sorted() }

    /** By class, the seconds after which a job is to be started. */
    private val startWithin: Map<String, Double> = objectives.startWithinS()

    /** Seconds after which work within a team's guaranteed share is to be started. */
    private val guaranteeWithin: Double? =
        objectives
            .filter { it.kind == "guarantee" }
            .mapNotNull { it.withinS }
            .minOrNull()

    /** The job's class is to start sooner than its image can be fetched, and it is not too late for that. */
    fun isLatencySensitive(job: Job): Boolean {
        val within = startWithin[job.spec.jobClass] ?: return false
        return within < imageFetchS(job) && waitedS(job) < within
    }

    /**
     * Work within a guaranteed share claims room from other teams' surplus only once half the time in which it is to
     * start, less what its image takes, is over: it is served before all else of its priority, and mostly enough frees
     * by itself.
     */
    fun mayClaimGuarantee(job: Job): Boolean {
        val within = guaranteeWithin ?: return true
        return waitedS(job) >= (within - imageFetchS(job)) / 2
    }

    /** An array that came less than [seconds] ago, and half the time in which it is to start is not over. */
    fun canWait(
        job: Job,
        seconds: Double,
    ): Boolean =
        !job.isService && waitedS(job) < minOf(seconds, (startWithin[job.spec.jobClass] ?: Double.MAX_VALUE) / 2)

    /**
     * No task of the job was started for so long that it goes before all others. Without this bound a steady stream of
     * small or more urgent work would keep a large job waiting for ever.
     */
    fun isStarved(job: Job): Boolean = job.unservedMs(clock.wallMs) > SchedulingTuning.STARVED_MS

    private class RankedJob(
        val job: Job,
        val missedObjectives: Int,
        val cost: Double,
    )

    /** [jobs] of one priority, first to be served first. */
    fun order(jobs: List<Job>): List<Job> =
        jobs
            .map { RankedJob(it, missedIfStartedNow(it), cost(it)) }
            .sortedWith(compareBy({ !it.job.guaranteed }, { it.missedObjectives }, { it.cost }, { it.job.id }))
            .map { it.job }

    /** How many of its objectives the job can't meet any more even if it started now. */
    private fun missedIfStartedNow(job: Job): Int =
        if (job.isService) {
            0
        } else {
            missedObjectives(
                job,
                waitedS(job) + estimates.seconds(job),
            )
        }

    /** How many more objectives [job] misses when a task that has run for [ranS] seconds starts again. */
    fun missedByRestart(
        job: Job,
        ranS: Double,
    ): Int {
        if (job.isService) return 0
        val end = waitedS(job) + estimates.seconds(job)
        return missedObjectives(job, end) - missedObjectives(job, end - ranS)
    }

    /**
     * How many more objectives [job], whose tasks take [seconds], misses when its end is put off by [delay] seconds.
     */
    fun missedByLoss(
        job: Job,
        seconds: Double,
        delay: Double,
    ): Int {
        if (job.isService) return 0
        val end = seconds + if (job.attempts.isEmpty()) waitedS(job) else 0.0
        return missedObjectives(job, end + delay) - missedObjectives(job, end)
    }

    /** Seconds since the job could start. */
    private fun waitedS(job: Job): Double = (clock.wallMs - job.readyAt) / MS_PER_SECOND

    private fun imageFetchS(job: Job): Double = job.spec.imageGb * SchedulingTuning.FETCH_S_PER_GB

    /** [end]: seconds after the job could start. */
    private fun missedObjectives(
        job: Job,
        end: Double,
    ): Int {
        var missed = 0
        finishWithin[job.spec.jobClass]?.forEach { if (end > it) missed++ }
        val endsAt = job.readyAt / MS_PER_SECOND + end
        deadlines.latestEnds(job).forEach { if (endsAt > it) missed++ }
        return missed
    }

    /** Processor seconds still to be done, less a credit for each second waited. */
    private fun cost(job: Job): Double {
        val waited = waitedS(job)
        if (job.isService) return -waited
        val work = job.pendingCount * job.spec.vcpus * estimates.seconds(job)
        return work - waited * job.spec.vcpus * job.spec.taskCount * SchedulingTuning.AGE_CREDIT
    }
}
