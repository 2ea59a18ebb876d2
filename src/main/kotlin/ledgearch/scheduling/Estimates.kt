package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.Machine
import kotlin.math.exp
import kotlin.math.ln

/**
 * Run times. The tasks of one job take about equally long, however wrong its owner's estimate is, so what was seen
 * of the job itself counts before all else; until then the estimate, corrected by what was seen of the class.
 */
internal class Estimates {
    private class Seen {
        /** Logarithm of run time over estimate: errors are factors, so their logarithms are averaged. */
        var logRatio = 0.0
        var weight = 0.0
    }

    /** What was learnt of one class. */
    internal data class Learnt(
        val logRatio: Double,
        val weight: Double,
    )

    private val seen = HashMap<String, Seen>()

    fun ran(
        job: Job,
        seconds: Double,
    ) {
        job.runTime.add(seconds)
        if (job.spec.estimatedRunS <= 0 || seconds <= 0) return
        // Every job counts the same, however many tasks it has.
        val w = 1.0 / job.spec.taskCount
        val s = seen.getOrPut(job.spec.jobClass) { Seen() }
        s.weight = minOf(s.weight + w, SchedulingTuning.ESTIMATE_JOBS)
        s.logRatio += (ln(seconds / job.spec.estimatedRunS) - s.logRatio) * minOf(1.0, w / s.weight)
    }

    fun learnt(): Map<String, Learnt> = seen.mapValues { (_, s) -> Learnt(s.logRatio, s.weight) }

    /** Takes over what another leader has learnt of a class; what was seen here counts more if it weighs more. */
    fun learn(
        jobClass: String,
        logRatio: Double,
        weight: Double,
    ) {
        val s = seen.getOrPut(jobClass) { Seen() }
        if (s.weight >= weight) return
        s.logRatio = logRatio
        s.weight = weight
    }

    fun seconds(job: Job): Double {
        if (job.runTime.tasks > 0) return job.runTime.mean
        val s = seen[job.spec.jobClass]
        // The weight of one job stands for the owners being right on the average.
        val correction = if (s == null) 1.0 else exp(s.logRatio * s.weight / (s.weight + 1.0))
        return job.spec.estimatedRunS * correction
    }

    /** Processors that the running tasks of [jobs] free each second. */
    fun freedASecond(jobs: Collection<Job>): Double =
        jobs.sumOf { job ->
            if (job.runningCount == 0) 0.0 else job.runningCount * freedASecond(job)
        }

    /** The same of each zone. */
    fun freedASecondByZone(machines: Collection<Machine>): Map<String, Double> {
        val freed = HashMap<String, Double>()
        for (machine in machines) {
            for (attempt in machine.attempts.values) {
                if (attempt.state ==
                    AttemptState.RUNNING
                ) {
                    attempt.job?.let { freed.merge(machine.zone, freedASecond(it), Double::plus) }
                }
            }
        }
        return freed
    }

    /** By one running task. */
    private fun freedASecond(job: Job) = if (job.isService) 0.0 else job.spec.vcpus / maxOf(seconds(job), 1.0)
}
