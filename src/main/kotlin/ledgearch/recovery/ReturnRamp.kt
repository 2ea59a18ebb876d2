package ledgearch.recovery

/**
 * The share of a returning zone's machines that may take new work. It rises step by step; a failure seen meanwhile
 * takes one step back and makes the next wait longer. All times are steady ms.
 */
internal class ReturnRamp {
    /** Index of the present step in [RecoveryTuning.RAMP_SHARES]. */
    private var step = 0
    private var nextStepAt = 0L

    /** Until then a failure counts as one with the failure before. */
    private var sameFailureUntil = 0L

    /** Share of the zone's machines that may take new work. */
    val share: Double get() = RecoveryTuning.RAMP_SHARES[step]

    /** All machines of the zone may take new work. */
    val isOver: Boolean get() = step == RecoveryTuning.RAMP_SHARES.lastIndex

    /** Begins with the first step. */
    fun begin(nowMs: Long) = beginAt(0.0, nowMs)

    /** Goes on from the step that admits [admitted] (a share) of the machines. */
    fun beginAt(
        admitted: Double,
        nowMs: Long,
    ) {
        step = RecoveryTuning.RAMP_SHARES.indexOfLast { it <= admitted + ROUNDING }.coerceAtLeast(0)
        nextStepAt = nowMs + RecoveryTuning.RAMP_STEP_MS
    }

    /** A machine of the zone failed again. Several at one time count as one failure. */
    fun failed(nowMs: Long) {
        if (nowMs < sameFailureUntil) return
        sameFailureUntil = nowMs + RecoveryTuning.RAMP_STEP_MS
        step = (step - 1).coerceAtLeast(0)
        nextStepAt = nowMs + RecoveryTuning.RAMP_SLOWED_MS
    }

    /** Takes the next step if it is due. */
    fun look(nowMs: Long) {
        if (isOver || nowMs < nextStepAt) return
        step++
        nextStepAt = nowMs + RecoveryTuning.RAMP_STEP_MS
    }

    private companion object {
        /** Shares come from another controller in thousandths. */
        const val ROUNDING = 0.001
    }
}
