package ledgearch.recovery

import kotlin.math.exp
import kotlin.math.ln

/**
 * Flap damping of one zone, like that of routes (RFC 2439): each loss adds one to a penalty that halves every
 * [RecoveryTuning.FLAP_HALF_LIFE_MS]. From [RecoveryTuning.FLAP_SUPPRESS_THRESHOLD] on, the zone gets no new tasks
 * until the penalty is below [RecoveryTuning.FLAP_REUSE_THRESHOLD]. An upper limit of the penalty bounds this time
 * however often the zone flaps. All times are steady-clock ms.
 */
internal class FlapPenalty {
    /** The penalty at [changedAtMs], before the decay since then. */
    private var penalty = 0.0
    private var changedAtMs = 0L

    var isSuppressed = false
        private set

    /** Returns the penalty at [nowMs], in losses. */
    fun valueAt(nowMs: Long): Double =
        penalty * exp(-ln(2.0) * (nowMs - changedAtMs) / RecoveryTuning.FLAP_HALF_LIFE_MS)

    /** Adds a loss of the zone. */
    fun addLoss(nowMs: Long) = set(valueAt(nowMs) + 1.0, nowMs)

    /** Continues with the [penalty] that another leader published. */
    fun restore(
        penalty: Double,
        nowMs: Long,
    ) = set(penalty, nowMs)

    private fun set(
        newPenalty: Double,
        nowMs: Long,
    ) {
        penalty = newPenalty.coerceIn(0.0, RecoveryTuning.FLAP_MAX_PENALTY)
        changedAtMs = nowMs
        if (penalty >= RecoveryTuning.FLAP_SUPPRESS_THRESHOLD) isSuppressed = true
    }

    /** Ends the suppression once the penalty has decayed far enough. */
    fun update(nowMs: Long) {
        if (valueAt(nowMs) < RecoveryTuning.FLAP_REUSE_THRESHOLD) isSuppressed = false
    }
}
