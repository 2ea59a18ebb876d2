package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.Machine
import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates of run times. The tasks of one job take about equally long, however wrong its owner's estimate is, so what
 * was observed of the job itself counts before all else; until then the owner's estimate, corrected by what was
 * observed of the class.
 */
internal class Estimates {
    private class Observed {
        /** Logarithm of run time over estimate: errors are factors, so their logarithms are averaged. */
        var logRatio = 0.0

        /** Jobs that the average stands for. */
        var weight = 0.0
    }

    /** What was learnt of one class: the mean logarithm of run time over estimate, and the jobs it stands for. */
    internal data class Learnt(
        val logRatio: Double,
        val weight: Double,
    )

    private val observedByClass = HashMap<String, Observed>()

    /** A task of [job] has run for [seconds], from its start to its end. */
    fun ran(
        job: Job,
        seconds: Double,
    ) {
        job.runTime.add(seconds)
        if (job.spec.estimatedRunS <= 0 || seconds <= 0) return
        // Every job counts the same, however many tasks it has.
        val taskWeight = 1.0 / job.spec.taskCount
        val observed = observedByClass.getOrPut(job.spec.jobClass) { Observed() }
        observed.weight = minOf(observed.weight + taskWeight, SchedulingTuning.ESTIMATE_JOBS)
        val error = ln(seconds / job.spec.estimatedRunS) - observed.logRatio
        observed.logRatio += error * minOf(1.0, taskWeight / observed.weight)
    }

    /** What was learnt so far, by class. */
    fun learnt(): Map<String, Learnt> = observedByClass.mapValues { (_, observed) -> observed.toLearnt() }

    private fun Observed.toLearnt() = Learnt(logRatio, weight)

    /** Takes over what another leader has learnt of a class; what was observed here counts more if it weighs more. */
    fun learn(
        jobClass: String,
        logRatio: Double,
        weight: Double,
    ) {
        val observed = observedByClass.getOrPut(jobClass) { Observed() }
        if (observed.weight >= weight) return
        observed.logRatio = logRatio
        observed.weight = weight
    }

    /** How many seconds a task of [job] probably takes. */
    fun seconds(job: Job): Double {
        if (job.runTime.tasks > 0) return job.runTime.mean
        val observed = observedByClass[job.spec.jobClass] ?: return job.spec.estimatedRunS
        // The weight of one job stands for the owners being right on the average.
        return job.spec.estimatedRunS * exp(observed.logRatio * observed.weight / (observed.weight + 1.0))
    }

    /** Processors that the running tasks of [jobs] free each second. */
    fun freedCpusPerSecond(jobs: Collection<Job>): Double =
        jobs.sumOf { job ->
            if (job.runningCount == 0) 0.0 else job.runningCount * freedByOneTask(job)
        }

    /** Processors that the running tasks on [machines] free each second, by zone. */
    fun freedCpusPerSecondByZone(machines: Collection<Machine>): Map<String, Double> {
        val freed = HashMap<String, Double>()
        for (machine in machines) {
            for (attempt in machine.attempts.values) {
                if (attempt.state != AttemptState.RUNNING) continue
                val job = attempt.job ?: continue
                freed.merge(machine.zone, freedByOneTask(job), Double::plus)
            }
        }
        return freed
    }

    /** Processors each second; none by a service, whose tasks don't end. */
    private fun freedByOneTask(job: Job): Double = if (job.isService) 0.0 else job.spec.vcpus / maxOf(seconds(job), 1.0)
}
