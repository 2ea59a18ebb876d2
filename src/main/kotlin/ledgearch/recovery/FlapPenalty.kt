package ledgearch.recovery

import kotlin.math.exp
import kotlin.math.ln

/**
 * Flap damping of one zone, as routers do it with routes (RFC 2439): each loss of the zone adds one to a penalty that
 * halves with every [RecoveryTuning.FLAP_HALF_LIFE_MS]. From [RecoveryTuning.FLAP_SUPPRESS_PENALTY] on the zone stays
 * out of new placement until the penalty is below [RecoveryTuning.FLAP_REUSE_PENALTY]. The penalty has an upper bound,
 * so that this takes a bounded time however often a zone flaps. All times are steady ms.
 */
internal class FlapPenalty {
    /** The penalty at [changedAt], from which it has decayed since. */
    private var penalty = 0.0
    private var changedAt = 0L

    /** The zone stays out of new placement. */
    var isSuppressed = false
        private set

    /** The penalty at [nowMs], in losses. */
    fun at(nowMs: Long): Double = penalty * exp(-ln(2.0) * (nowMs - changedAt) / RecoveryTuning.FLAP_HALF_LIFE_MS)

    /** The zone was lost once more. */
    fun lost(nowMs: Long) = set(at(nowMs) + 1.0, nowMs)

    /** Goes on with the [penalty] that another leader knew of. */
    fun restore(
        penalty: Double,
        nowMs: Long,
    ) = set(penalty, nowMs)

    private fun set(
        newPenalty: Double,
        nowMs: Long,
    ) {
        penalty = newPenalty.coerceIn(0.0, RecoveryTuning.FLAP_MAX_PENALTY)
        changedAt = nowMs
        if (penalty >= RecoveryTuning.FLAP_SUPPRESS_PENALTY) isSuppressed = true
    }

    /** Lets the zone back once the penalty has decayed far enough. */
    fun update(nowMs: Long) {
        if (at(nowMs) < RecoveryTuning.FLAP_REUSE_PENALTY) isSuppressed = false
    }
}
