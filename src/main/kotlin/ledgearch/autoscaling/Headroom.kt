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
 * The capacity to keep free for expected jobs. Machines boot too slowly for jobs of a class with a start objective, so
 * these need processors that running tasks free within that time, or processors that were kept free.
 */
internal class Headroom(
    settings: Settings,
    private val clock: Clock,
) {
    /** Exponentially decaying sums over the arrived jobs of one class. */
    private class Arrivals(
        val needsOnDemand: Boolean,
    ) {
        var cpus = 0.0
            private set

        /** Sum of the squares of the processors of each job. */
        var squaredCpus = 0.0
            private set

        /** Steady-clock ms of the last decay. */
        private var decayedAtMs = 0L

        fun decay(nowMs: Long) {
            val factor = exp(-(nowMs - decayedAtMs) / AutoscalingTuning.ARRIVAL_DECAY_MS.toDouble())
            cpus *= factor
            squaredCpus *= factor
            decayedAtMs = nowMs
        }

        fun add(jobCpus: Double) {
            cpus += jobCpus
            squaredCpus += jobCpus * jobCpus
        }
    }

    /** The processors that jobs are likely to need within a boot time, and the shortest start objective among them. */
    private class ExpectedDemand(
        val cpus: Double,
        val startWithinS: Double,
    )

    private val reserveDeviations = settings.operator.reserveDeviations

    private val teamMaxCpus = settings.deployment.teams.associate { it.name to it.maxCpus }

    /** By job class. */
    private val startObjectivesS: Map<String, Double> = settings.deployment.objectives.startWithinS()
    private val arrivals = HashMap<String, Arrivals>()

    /** Records the arrival of [job]: it was submitted, or its last dependency ended. */
    fun recordArrival(job: Job) {
        if (job.spec.jobClass !in startObjectivesS) return
        // Tasks beyond the team's quota never start at once.
        val cpusAtOnce = minOf(job.spec.vcpus * job.spec.taskCount, teamMaxCpus[job.spec.team] ?: 0.0)
        val classArrivals = arrivals.getOrPut(job.spec.jobClass) { Arrivals(!job.spec.allowsSpot) }
        classArrivals.decay(clock.steadyMs)
        classArrivals.add(cpusAtOnce)
    }

    /** Returns the seconds within which [job] is to start: the objective of its class, at most [maxS]. */
    fun startWithinS(
        job: Job,
        maxS: Double,
    ): Double = minOf(startObjectivesS[job.spec.jobClass] ?: maxS, maxS)

    /**
     * Returns the processors to keep free: what classes with a start objective below the boot time [bootS] are likely
     * to need within that time, less what running tasks free within the shortest of these objectives.
     */
    fun cpusToReserve(
        freedCpusPerSecond: Double,
        bootS: Double,
    ): Double {
        val demand = expectedDemand(bootS) { true }
        if (demand.cpus == 0.0) return 0.0
        val freedCpus = freedCpusPerSecond * demand.startWithinS * SchedulingTuning.RELIABLE_FREED_SHARE
        return (demand.cpus - freedCpus).coerceAtLeast(0.0)
    }

    /**
     * Returns the processors of on-demand machines that classes which may not run on spot machines are likely to need
     * within the boot time [bootS].
     */
    fun expectedOnDemandCpus(bootS: Double): Double = expectedDemand(bootS) { it.needsOnDemand }.cpus

    /**
     * Returns the expected demand of the classes that [isIncluded] accepts and whose start objective is below the boot
     * time, plus [reserveDeviations] standard deviations.
     */
    private fun expectedDemand(
        bootS: Double,
        isIncluded: (Arrivals) -> Boolean,
    ): ExpectedDemand {
        val bootToDecayRatio = bootS * MS_PER_SECOND / AutoscalingTuning.ARRIVAL_DECAY_MS
        var expectedCpus = 0.0
        var variance = 0.0
        var shortestS = Double.MAX_VALUE
        for ((jobClass, classArrivals) in arrivals) {
            val withinS = startObjectivesS[jobClass] ?: continue
            if (withinS >= bootS || !isIncluded(classArrivals)) continue
            classArrivals.decay(clock.steadyMs)
            expectedCpus += classArrivals.cpus * bootToDecayRatio
            variance += classArrivals.squaredCpus * bootToDecayRatio
            shortestS = minOf(shortestS, withinS)
        }
        return ExpectedDemand(expectedCpus + reserveDeviations * sqrt(variance), shortestS)
    }
}
