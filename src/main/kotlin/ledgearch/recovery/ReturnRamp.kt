package ledgearch.recovery

/**
 * The share of a returning zone's machines that may take new work. It rises step by step; a failure seen meanwhile
 * takes one step back and makes the next wait longer.
 */
internal class ReturnRamp {
    private var step = 0
    private var nextAt = 0L
    private var slowedUntil = 0L

    val share: Double get() = RecoveryTuning.RAMP_SHARES[step]
    val isOver: Boolean get() = step == RecoveryTuning.RAMP_SHARES.lastIndex

    fun begin(nowMs: Long) = beginAt(0.0, nowMs)

    /** Goes on from the step that admits [admitted] of the machines. */
    fun beginAt(
        admitted: Double,
        nowMs: Long,
    ) {
        step = RecoveryTuning.RAMP_SHARES.indexOfLast { it <= admitted + ROUNDING }.coerceAtLeast(0)
        nextAt = nowMs + RecoveryTuning.RAMP_STEP_MS
    }

    /** A machine of the zone failed again. Several at one time count as one failure. */
    fun failed(nowMs: Long) {
        if (nowMs < slowedUntil) return
        slowedUntil = nowMs + RecoveryTuning.RAMP_STEP_MS
        step = (step - 1).coerceAtLeast(0)
        nextAt = nowMs + RecoveryTuning.RAMP_SLOWED_MS
    }

    fun look(nowMs: Long) {
        if (isOver || nowMs < nextAt) return
        step++
        nextAt = nowMs + RecoveryTuning.RAMP_STEP_MS
    }

    private companion object {
        /** Shares come from another controller in thousandths. */
        const val ROUNDING = 0.001
    }
}
