package ledgearch.recovery

/**
 * The share of a returning zone's machines that get new tasks. It rises step by step; a machine failure takes it back
 * by one step and delays the next. All times are steady-clock ms.
 */
internal class ReturnRamp {
    /** Index in [RecoveryTuning.RAMP_SHARES]. */
    private var step = 0
    private var nextStepAtMs = 0L

    /** Time before which a failure counts together with the previous one. */
    private var sameFailureUntilMs = 0L

    /** Share of the zone's machines that get new tasks. */
    val share: Double get() = RecoveryTuning.RAMP_SHARES[step]

    /** Whether all machines of the zone get new tasks. */
    val isComplete: Boolean get() = step == RecoveryTuning.RAMP_SHARES.lastIndex

    fun begin(nowMs: Long) = beginAt(0.0, nowMs)

    /** Starts with the last step whose share is at most [admittedShare]. */
    fun beginAt(
        admittedShare: Double,
        nowMs: Long,
    ) {
        step = RecoveryTuning.RAMP_SHARES.indexOfLast { it <= admittedShare + SHARE_TOLERANCE }.coerceAtLeast(0)
        nextStepAtMs = nowMs + RecoveryTuning.RAMP_STEP_MS
    }

    /** Goes back one step after a machine failure. Failures within one step interval count as one. */
    fun onMachineFailed(nowMs: Long) {
        if (nowMs < sameFailureUntilMs) return
        sameFailureUntilMs = nowMs + RecoveryTuning.RAMP_STEP_MS
        step = (step - 1).coerceAtLeast(0)
        nextStepAtMs = nowMs + RecoveryTuning.RAMP_STEP_AFTER_FAILURE_MS
    }

    /** Takes the next step if it is due. */
    fun update(nowMs: Long) {
        if (isComplete || nowMs < nextStepAtMs) return
        step++
        nextStepAtMs = nowMs + RecoveryTuning.RAMP_STEP_MS
    }

    private companion object {
        /** Controllers send shares in thousandths. */
        const val SHARE_TOLERANCE = 0.001
    }
}
