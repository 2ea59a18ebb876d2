package ledgearch.recovery

import kotlin.math.exp
import kotlin.math.ln

/**
 * Flap damping, as routers do it with routes (RFC 2439): each loss of a zone adds one to a penalty that halves with
 * every [RecoveryTuning.FLAP_HALF_LIFE_MS]. Above [RecoveryTuning.FLAP_SUPPRESS] the zone stays out of new placement
 * until the penalty is below [RecoveryTuning.FLAP_REUSE]. The penalty has an upper bound, so that this takes a bounded
 * time however often a zone flaps.
 */
internal class FlapPenalty {
    private var value = 0.0
    private var at = 0L

    /** The zone stays out of new placement. */
    var isSuppressed = false
        private set

    fun at(nowMs: Long): Double = value * exp(-ln(2.0) * (nowMs - at) / RecoveryTuning.FLAP_HALF_LIFE_MS)

    /** The zone was lost once more. */
    fun lost(nowMs: Long) = set(at(nowMs) + 1.0, nowMs)

    /** The penalty that another leader knew of. */
    fun restore(
        penalty: Double,
        nowMs: Long,
    ) = set(penalty, nowMs)

    private fun set(
        penalty: Double,
        nowMs: Long,
    ) {
        value = penalty.coerceIn(0.0, RecoveryTuning.FLAP_MOST)
        at = nowMs
        if (value >= RecoveryTuning.FLAP_SUPPRESS) isSuppressed = true
    }

    fun look(nowMs: Long) {
        if (at(nowMs) < RecoveryTuning.FLAP_REUSE) isSuppressed = false
    }
}
