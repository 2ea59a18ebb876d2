package ledgearch.fleet

import ledgearch.Tuning
import ledgearch.config.Objective
import ledgearch.config.startWithinS
import ledgearch.core.Job
import ledgearch.core.Machine
import ledgearch.core.TaskStatus
import ledgearch.core.placement.Estimates

/**
 * How much room to keep ahead of demand. A class whose users ask for starts within a time finds room in two ways:
 * what running tasks free within that time, and what is kept free. Machines boot too slowly to help.
 */
internal class Reserve(objectives: List<Objective>, private val estimates: Estimates) {
    private class JobSizes {
        var mean = 0.0
        var spread = 0.0
        var seen = 0

        fun add(cpus: Double) {
            seen = minOf(seen + 1, MEMORY)
            spread += (kotlin.math.abs(cpus - mean) - spread) / seen
            mean += (cpus - mean) / seen
        }
    }

    /** Seconds within which tasks of a class are to start, where that is asked for. */
    private val withinS: Map<String, Double> = objectives.startWithinS()
    private val sizes = HashMap<String, JobSizes>()

    fun opened(job: Job) {
        if (job.spec.menu in withinS) sizes.getOrPut(job.spec.menu) { JobSizes() }.add(job.spec.vcpus * job.spec.portions)
    }

    fun startWithinS(job: Job, otherwise: Double): Double = minOf(withinS[job.spec.menu] ?: otherwise, otherwise)

    /** Processors that running tasks free each second. */
    fun churn(machines: Collection<Machine>): Double = machines.sumOf { m ->
        m.placements.values.sumOf { p ->
            val job = p.job
            if (job == null || job.standing || p.status != TaskStatus.RUNNING) 0.0 else job.spec.vcpus / maxOf(estimates.seconds(job), 1.0)
        }
    }

    /** Processors to keep free. */
    fun cpus(churn: Double): Double = sizes.entries.maxOfOrNull { (name, s) ->
        s.mean + s.spread - churn * (withinS[name] ?: 0.0) * Tuning.CHURN_COUNTED
    }?.coerceAtLeast(0.0) ?: 0.0

    private companion object {
        /** Jobs after which older ones fade. */
        const val MEMORY = 50
    }
}
