package ledgearch.autoscaling

/**
 * The processors used of late: a peak that decays exponentially, with [AutoscalingTuning.PEAK_DECAY_MS] as its time
 * constant. Load comes in jobs: what it was a moment ago it may be again before a machine could boot.
 */
internal class PeakLoad {
    /** Processors. */
    var cpus = 0.0
        private set

    /** [used] processors are used now; called once in [AutoscalingTuning.PLAN_INTERVAL_MS]. */
    fun observe(used: Double) {
        cpus = maxOf(used, cpus - (cpus - used) * AutoscalingTuning.PLAN_INTERVAL_MS / AutoscalingTuning.PEAK_DECAY_MS)
    }
}
