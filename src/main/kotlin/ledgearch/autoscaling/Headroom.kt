package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.config.startWithinS
import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.scheduling.SchedulingTuning
import kotlin.math.exp
import kotlin.math.sqrt

/**
 * How much room to keep free ahead of demand. Jobs of a class whose objective is a start within a time find room in two
 * ways: what running tasks free within that time, and what is kept free. Machines boot too slowly to help.
 */
internal class Headroom(
    settings: Settings,
    private val clock: Clock,
) {
    /** The recent arrivals of jobs of one class; what came long ago has faded. */
    private class Arrivals(
        val needsOnDemand: Boolean,
    ) {
        /** Processors that arrived, and the sum of the squares of each job's processors. */
        var cpus = 0.0
            private set
        var squaredCpus = 0.0
            private set

        /** Steady ms up to which the sums have faded. */
        private var fadedAt = 0L

        fun fade(nowMs: Long) {
            val share = exp(-(nowMs - fadedAt) / AutoscalingTuning.ARRIVAL_DECAY_MS.toDouble())
            cpus *= share
            squaredCpus *= share
            fadedAt = nowMs
        }

        fun add(jobCpus: Double) {
            cpus += jobCpus
            squaredCpus += jobCpus * jobCpus
        }
    }

    /** What jobs are likely to need within a boot time, and the shortest time in which one of them is to start. */
    private class ExpectedNeed(
        val cpus: Double,
        val startWithinS: Double,
    )

    private val deviations = settings.operator.reserveDeviations

    /** Processors that each team may use. */
    private val teamLimits = settings.deployment.teams.associate { it.name to it.cpusMax }

    /** Seconds within which jobs of a class are to start, for classes with that objective. */
    private val startObjectives: Map<String, Double> = settings.deployment.objectives.startWithinS()
    private val arrivals = HashMap<String, Arrivals>()

    /** [job] was submitted, or no longer waits for other jobs. */
    fun opened(job: Job) {
        if (job.spec.jobClass !in startObjectives) return
        // More than its team's limit never starts at once.
        val cpusAtOnce = minOf(job.spec.vcpus * job.spec.taskCount, teamLimits[job.spec.team] ?: 0.0)
        val ofClass = arrivals.getOrPut(job.spec.jobClass) { Arrivals(!job.spec.allowsSpot) }
        ofClass.fade(clock.steadyMs)
        ofClass.add(cpusAtOnce)
    }

    /** Seconds within which [job] is to start, [otherwise] where its class has no objective or a longer one. */
    fun startWithinS(
        job: Job,
        otherwise: Double,
    ): Double = minOf(startObjectives[job.spec.jobClass] ?: otherwise, otherwise)

    /**
     * Processors to keep free: what the classes that can't wait for a machine to boot are likely to need within a
     * boot time ([bootS], seconds), less what frees within the time that they can wait. [freedPerSecond]: processors
     * that running tasks free in a second.
     */
    fun cpus(
        freedPerSecond: Double,
        bootS: Double,
    ): Double {
        val need = expectedNeed(bootS) { true }
        if (need.cpus == 0.0) return 0.0
        val freed = freedPerSecond * need.startWithinS * SchedulingTuning.RELIABLE_FREED_SHARE
        return (need.cpus - freed).coerceAtLeast(0.0)
    }

    /**
     * Processors of on-demand machines that classes which may go nowhere else are likely to need within a boot time
     * ([bootS], seconds).
     */
    fun onDemandCpus(bootS: Double): Double = expectedNeed(bootS) { it.needsOnDemand }.cpus

    /** The expected need of those classes that can't wait for a boot and are [counted], plus some deviations of it. */
    private fun expectedNeed(
        bootS: Double,
        counted: (Arrivals) -> Boolean,
    ): ExpectedNeed {
        val bootTimes = bootS * MS_PER_SECOND / AutoscalingTuning.ARRIVAL_DECAY_MS
        var expected = 0.0
        var variance = 0.0
        var shortestS = Double.MAX_VALUE
        for ((jobClass, ofClass) in arrivals) {
            val withinS = startObjectives[jobClass] ?: continue
            if (withinS >= bootS || !counted(ofClass)) continue
            ofClass.fade(clock.steadyMs)
            expected += ofClass.cpus * bootTimes
            variance += ofClass.squaredCpus * bootTimes
            shortestS = minOf(shortestS, withinS)
        }
        return ExpectedNeed(expected + deviations * sqrt(variance), shortestS)
    }
}
