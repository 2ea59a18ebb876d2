package ledgearch.recovery

/**
 * The state machine of one zone: up, suspect, lost, returning, up. It controls new tasks only and does not prove that
 * anything is gone. All times are steady-clock ms.
 */
internal class ZoneHealth(
    val zone: String,
) {
    private val penalty = FlapPenalty()
    private val ramp = ReturnRamp()

    var state = ZoneState.UP
        private set

    /** The reason for the state, as text for operators. */
    var reason = "heard"
        private set

    var stateSinceMs = 0L
        private set

    /** Whether the zone was lost too often and gets no new tasks until its penalty has decayed. */
    val isSuppressed: Boolean get() = state == ZoneState.RETURNING && penalty.isSuppressed

    /** Share of its machines that get new tasks. */
    val admittedShare: Double
        get() =
            when {
                state == ZoneState.LOST || isSuppressed -> 0.0
                state == ZoneState.RETURNING -> ramp.share
                else -> 1.0
            }

    /** Returns the flap penalty at [nowMs], in losses. */
    fun penalty(nowMs: Long): Double = penalty.valueAt(nowMs)

    /** Updates the state by the [observation] made at [nowMs], and returns whether the state changed. */
    fun update(
        observation: ZoneObservation,
        nowMs: Long,
    ): Boolean {
        penalty.update(nowMs)
        val previousState = state
        when (state) {
            ZoneState.UP, ZoneState.SUSPECT -> updateWhileServing(observation, nowMs)
            ZoneState.LOST -> if (!observation.isPartitioned) beginReturn(nowMs)
            ZoneState.RETURNING -> updateWhileReturning(observation, nowMs)
        }
        return state != previousState
    }

    private fun updateWhileServing(
        observation: ZoneObservation,
        nowMs: Long,
    ) {
        val counts = "${observation.reportingCount} of ${observation.machineCount} machines heard"
        when {
            observation.isPartitioned -> {
                lose(counts, nowMs)
            }

            state == ZoneState.UP && isFailing(observation) -> {
                enter(ZoneState.SUSPECT, counts, nowMs)
            }

            // The threshold is higher than the one for suspicion, so that the state does not oscillate.
            state == ZoneState.SUSPECT && observation.reportingShare >= RecoveryTuning.UP_FROM_REPORTING_SHARE -> {
                enter(ZoneState.UP, counts, nowMs)
            }
        }
    }

    private fun isFailing(observation: ZoneObservation) =
        observation.isAnyZoneHealthy &&
            observation.machineCount >= RecoveryTuning.MIN_ZONE_MACHINES &&
            observation.reportingShare < RecoveryTuning.SUSPECT_BELOW_REPORTING_SHARE

    private fun updateWhileReturning(
        observation: ZoneObservation,
        nowMs: Long,
    ) {
        when {
            observation.isPartitioned || hasNoReportingMachine(observation) -> {
                lose("lost again, none of ${observation.machineCount} machines heard", nowMs)
            }

            penalty.isSuppressed -> {
                ramp.begin(nowMs)
            }

            ramp.isComplete -> {
                enter(ZoneState.UP, "all its machines are admitted", nowMs)
            }

            else -> {
                ramp.update(nowMs)
            }
        }
    }

    /** A zone may have too few machines left to count as partitioned. */
    private fun hasNoReportingMachine(observation: ZoneObservation) =
        observation.isAnyZoneHealthy && observation.machineCount > 0 && observation.reportingCount == 0

    private fun lose(
        newReason: String,
        nowMs: Long,
    ) {
        penalty.addLoss(nowMs)
        enter(ZoneState.LOST, newReason, nowMs)
    }

    private fun beginReturn(nowMs: Long) {
        ramp.begin(nowMs)
        val newReason = if (penalty.isSuppressed) "held back, it was lost too often" else "heard again"
        enter(ZoneState.RETURNING, newReason, nowMs)
    }

    private fun enter(
        newState: ZoneState,
        newReason: String,
        nowMs: Long,
    ) {
        state = newState
        reason = newReason
        stateSinceMs = nowMs
    }

    /** Slows the ramp of a returning zone after a machine failure. */
    fun onMachineFailed(nowMs: Long) {
        if (state == ZoneState.RETURNING) ramp.onMachineFailed(nowMs)
    }

    /** Continues from the last [status] that the previous leader published. */
    fun restore(
        status: ZoneStatus,
        nowMs: Long,
    ) {
        penalty.restore(status.penalty, nowMs)
        if (status.state == ZoneState.UP) return
        ramp.beginAt(status.admittedShare, nowMs)
        enter(status.state, "as the leader before told", nowMs)
    }
}
