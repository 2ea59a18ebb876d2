package ledgearch.scheduling

import ledgearch.config.Objective
import ledgearch.config.startWithinS
import ledgearch.model.Job
import ledgearch.runtime.Clock

/**
 * The order in which jobs are served. The paper's queues are first-come with equal tasks; here tasks differ, so
 * within an priority a job that can still meet its aim goes before one that can't, and less expected work before
 * more, with waiting counted in a job's favour.
 */
internal class Ranking(
    objectives: List<Objective>,
    private val estimates: Estimates,
    private val clock: Clock,
    private val deadlines: Deadlines,
) {
    private val finishWithin: Map<String, List<Double>> =
        objectives
            .filter { it.kind == "finished" && it.jobClass != null && it.withinS != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.withinS ?: 0.0 })
            .mapValues { it.value.sorted() }
    private val startWithin: Map<String, Double> = objectives.startWithinS()

    /** The job's class is to start sooner than an image can be fetched, and it is not too late for that. */
    fun hurried(job: Job): Boolean {
        val within = startWithin[job.spec.jobClass] ?: return false
        return within < job.spec.imageGb * SchedulingTuning.FETCH_S_PER_GB && age(job) < within
    }

    private val guaranteeWithin: Double? =
        objectives
            .filter {
                it.kind == "guarantee"
            }.mapNotNull { it.withinS }
            .minOrNull()

    /**
     * Work within a guarantee claims room from other teams' surplus only once half the time in which it is to start,
     * less what its image takes, is over: it is served before all else of its priority, and mostly enough frees by
     * itself.
     */
    fun mayClaimGuarantee(job: Job): Boolean {
        val within = guaranteeWithin ?: return true
        return age(job) >= (within - job.spec.imageGb * SchedulingTuning.FETCH_S_PER_GB) / 2
    }

    /** An array that came less than [seconds] ago, and half the time in which it is to start is not over. */
    fun canWait(
        job: Job,
        seconds: Double,
    ) = !job.isService && age(job) < minOf(seconds, (startWithin[job.spec.jobClass] ?: Double.MAX_VALUE) / 2)

    /**
     * No task of the job was started for so long that it goes before all others. Without this bound a steady stream of
     * little or more urgent work would keep a large job waiting for ever.
     */
    fun starved(job: Job) = job.unservedMs(clock.wallMs) > SchedulingTuning.STARVED_MS

    private class Rank(
        val job: Job,
        val lateness: Int,
        val cost: Double,
    )

    /** Jobs of one priority, first to be served first. */
    fun order(jobs: List<Job>): List<Job> =
        jobs
            .map { Rank(it, lateness(it), cost(it)) }
            .sortedWith(compareBy({ !it.job.guaranteed }, { it.lateness }, { it.cost }, { it.job.id }))
            .map { it.job }

    /** How many of its aims the job can't meet any more even if it started now. */
    fun lateness(job: Job): Int = if (job.isService) 0 else missed(job, age(job) + estimates.seconds(job))

    /** How many more aims [job] misses when a task that has run for [ranS] starts again. */
    fun missedByRestart(
        job: Job,
        ranS: Double,
    ): Int {
        if (job.isService) return 0
        val end = age(job) + estimates.seconds(job)
        return missed(job, end) - missed(job, end - ranS)
    }

    /** How many more aims [job], whose tasks take [seconds], misses when its end is put off by [delay] seconds. */
    fun missedByLoss(
        job: Job,
        seconds: Double,
        delay: Double,
    ): Int {
        if (job.isService) return 0
        val end = seconds + if (job.attempts.isEmpty()) age(job) else 0.0
        return missed(job, end + delay) - missed(job, end)
    }

    private fun age(job: Job) = (clock.wallMs - job.readyAt) / 1000.0

    /** [end]: seconds after the job could start. */
    private fun missed(
        job: Job,
        end: Double,
    ): Int {
        var missed = 0
        finishWithin[job.spec.jobClass]?.forEach { if (end > it) missed++ }
        val endsAt = job.readyAt / 1000.0 + end
        deadlines.latestEnds(job).forEach { if (endsAt > it) missed++ }
        return missed
    }

    /** Processor seconds still to be done, less a credit for each second waited. */
    private fun cost(job: Job): Double {
        val age = age(job)
        if (job.isService) return -age
        val work = job.pendingCount * job.spec.vcpus * estimates.seconds(job)
        return work - age * job.spec.vcpus * job.spec.taskCount * SchedulingTuning.AGE_CREDIT
    }
}
