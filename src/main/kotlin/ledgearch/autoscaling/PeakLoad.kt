package ledgearch.autoscaling

/**
 * A peak of the processors in use that decays exponentially with the time constant [AutoscalingTuning.PEAK_DECAY_MS].
 * After a drop the load may reach the peak again before a machine could boot.
 */
internal class PeakLoad {
    /** The decayed peak in processors. */
    var cpus = 0.0
        private set

    /** Updates the peak with [used] processors in use now; called once per [AutoscalingTuning.PLAN_INTERVAL_MS]. */
    fun observe(used: Double) {
        cpus = maxOf(used, cpus - (cpus - used) * AutoscalingTuning.PLAN_INTERVAL_MS / AutoscalingTuning.PEAK_DECAY_MS)
    }
}
