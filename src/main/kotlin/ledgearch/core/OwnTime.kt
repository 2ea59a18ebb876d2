package ledgearch.core

import ledgearch.Tuning

/**
 * Whether this node keeps up. While it is behind, reports and answers wait to be read here: nobody was silent, and a
 * time-out may be this node's own.
 */
internal class OwnTime(private val now: Now, private val metrics: Metrics) {
    private var tickAt = 0L
    private var passAt = Long.MIN_VALUE / 2

    /** Steady ms when this node was last seen to be behind. */
    var lateAt = Long.MIN_VALUE / 2
        private set

    /** A tick has come; ticks are due every [Tuning.TICK_MS]. */
    fun ticked() {
        if (tickAt != 0L) {
            val gap = now.steady - tickAt
            metrics.ticked(gap)
            if (gap > Tuning.OWN_PAUSE_MS) lateAt = now.steady
        }
        tickAt = now.steady
    }

    /** The last batch was full: more commands wait. */
    var behind = false

    /** At most one pass in a while, more seldom while commands wait: a pass for every batch would keep the node behind. */
    fun mayPass(): Boolean {
        if (now.steady - passAt < if (behind) Tuning.BEHIND_PASS_MS else Tuning.PASS_MS) return false
        passAt = now.steady
        return true
    }
}
