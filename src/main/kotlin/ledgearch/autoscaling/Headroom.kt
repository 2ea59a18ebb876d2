package ledgearch.autoscaling

import ledgearch.config.Settings
import ledgearch.config.startWithinS
import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.scheduling.SchedulingTuning
import kotlin.math.exp
import kotlin.math.sqrt

/**
 * How much room to keep ahead of demand. A class whose users ask for starts within a time finds room in two ways:
 * what running tasks free within that time, and what is kept free. Machines boot too slowly to help.
 */
internal class Headroom(
    settings: Settings,
    private val clock: Clock,
) {
    private class Arrivals(
        val ordinary: Boolean,
    ) {
        /** Jobs, processors and squared processors that came of late; what came long ago has faded. */
        var jobs = 0.0
        var cpus = 0.0
        var squares = 0.0
        private var at = 0L

        fun fade(nowMs: Long) {
            val left = exp(-(nowMs - at) / AutoscalingTuning.ARRIVALS_MS.toDouble())
            jobs *= left
            cpus *= left
            squares *= left
            at = nowMs
        }

        fun add(size: Double) {
            jobs += 1.0
            cpus += size
            squares += size * size
        }
    }

    private val deviations = settings.operator.reserveDeviations
    private val limits = settings.deployment.teams.associate { it.name to it.cpusMax }

    /** Seconds within which tasks of a class are to start, where that is asked for. */
    private val withinS: Map<String, Double> = settings.deployment.objectives.startWithinS()
    private val arrivals = HashMap<String, Arrivals>()

    fun opened(job: Job) {
        if (job.spec.jobClass !in withinS) return
        // More than its team's limit never starts at once.
        val atOnce = minOf(job.spec.vcpus * job.spec.taskCount, limits[job.spec.team] ?: 0.0)
        arrivals.getOrPut(job.spec.jobClass) { Arrivals(!job.spec.allowsSpot) }.let {
            it.fade(clock.steadyMs)
            it.add(atOnce)
        }
    }

    fun startWithinS(
        job: Job,
        otherwise: Double,
    ): Double = minOf(withinS[job.spec.jobClass] ?: otherwise, otherwise)

    /**
     * Processors to keep free: what the classes that can't wait for a machine to boot are likely to bring within a
     * boot time ([bootS]), less what frees within the time that they can wait.
     */
    fun cpus(
        churn: Double,
        bootS: Double,
    ): Double {
        val (processors, within) = expected(bootS) { true }
        return if (processors ==
            0.0
        ) {
            0.0
        } else {
            (processors - churn * within * SchedulingTuning.CHURN_COUNTED).coerceAtLeast(0.0)
        }
    }

    /** Processors of ordinary machines that classes which may go nowhere else are likely to need within a boot time. */
    fun ordinaryCpus(bootS: Double): Double = expected(bootS) { it.ordinary }.first

    private fun expected(
        bootS: Double,
        counted: (Arrivals) -> Boolean,
    ): Pair<Double, Double> {
        var expected = 0.0
        var variance = 0.0
        var within = Double.MAX_VALUE
        for ((name, a) in arrivals) {
            val wait = withinS[name] ?: continue
            if (wait >= bootS || !counted(a)) continue
            a.fade(clock.steadyMs)
            val horizons = bootS * 1000.0 / AutoscalingTuning.ARRIVALS_MS
            expected += a.cpus * horizons
            variance += a.squares * horizons
            within = minOf(within, wait)
        }
        return expected + deviations * sqrt(variance) to within
    }
}
