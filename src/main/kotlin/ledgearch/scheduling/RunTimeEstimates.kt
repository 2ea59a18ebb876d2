package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.Machine
import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates run times of tasks. The tasks of one job take about equally long, however wrong its owner's estimate is, so
 * the observed run times of the job come first. Until there are any, the owner's estimate is used, corrected by the
 * mean error observed for the job's class.
 */
internal class RunTimeEstimates {
    private class RunningMeanError {
        /** Mean logarithm of run time over estimate: errors are factors, so their logarithms are averaged. */
        var logRatio = 0.0

        /** Number of jobs in the mean. */
        var weight = 0.0
    }

    /** The mean logarithm of run time over estimate for one class, and the number of jobs in the mean. */
    internal data class MeanError(
        val logRatio: Double,
        val weight: Double,
    )

    private val runningMeanErrors = HashMap<String, RunningMeanError>()

    /** Records that a task of [job] has run for [runTimeS] seconds, from its start to its end. */
    fun recordRunTime(
        job: Job,
        runTimeS: Double,
    ) {
        job.meanRunTime.add(runTimeS)
        if (job.spec.estimatedRunTimeS <= 0 || runTimeS <= 0) return
        // Every job has the same weight, however many tasks it has.
        val taskWeight = 1.0 / job.spec.taskCount
        val mean = runningMeanErrors.getOrPut(job.spec.jobClass) { RunningMeanError() }
        mean.weight = minOf(mean.weight + taskWeight, SchedulingTuning.MAX_MEAN_ERROR_JOBS)
        val deviation = ln(runTimeS / job.spec.estimatedRunTimeS) - mean.logRatio
        mean.logRatio += deviation * minOf(1.0, taskWeight / mean.weight)
    }

    /** Returns the mean errors observed so far, by class. */
    fun meanErrors(): Map<String, MeanError> = runningMeanErrors.mapValues { (_, mean) -> mean.toMeanError() }

    private fun RunningMeanError.toMeanError() = MeanError(logRatio, weight)

    /**
     * Replaces the mean error of a class by that of another leader, unless the own one has at least the same [weight].
     */
    fun restoreMeanError(
        jobClass: String,
        logRatio: Double,
        weight: Double,
    ) {
        val mean = runningMeanErrors.getOrPut(jobClass) { RunningMeanError() }
        if (mean.weight >= weight) return
        mean.logRatio = logRatio
        mean.weight = weight
    }

    /** Returns the estimated run time of a task of [job] in seconds. */
    fun expectedRunTimeS(job: Job): Double {
        if (job.meanRunTime.taskCount > 0) return job.meanRunTime.seconds
        val mean = runningMeanErrors[job.spec.jobClass] ?: return job.spec.estimatedRunTimeS
        // The prior, that owners are right on average, has the weight of one job.
        return job.spec.estimatedRunTimeS * exp(mean.logRatio * mean.weight / (mean.weight + 1.0))
    }

    /** Returns the processors that the running tasks of [jobs] are expected to free per second. */
    fun freedCpusPerSecond(jobs: Collection<Job>): Double =
        jobs.sumOf { job ->
            if (job.runningCount == 0) 0.0 else job.runningCount * freedCpusPerSecondByTask(job)
        }

    /** Returns the processors that the running tasks on [machines] are expected to free per second, by zone. */
    fun freedCpusPerSecondByZone(machines: Collection<Machine>): Map<String, Double> {
        val freed = HashMap<String, Double>()
        for (machine in machines) {
            for (attempt in machine.attempts.values) {
                if (attempt.state != AttemptState.RUNNING) continue
                val job = attempt.job ?: continue
                freed.merge(machine.zone, freedCpusPerSecondByTask(job), Double::plus)
            }
        }
        return freed
    }

    /** Returns 0 for a service, whose tasks do not end. */
    private fun freedCpusPerSecondByTask(job: Job): Double =
        if (job.isService) {
            0.0
        } else {
            job.spec.vcpus / maxOf(expectedRunTimeS(job), 1.0)
        }
}
