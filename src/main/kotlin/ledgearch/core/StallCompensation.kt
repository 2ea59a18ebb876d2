package ledgearch.core

import ledgearch.Tuning

/**
 * Whether this node keeps up. While it is behind, reports and answers wait to be read here: nobody was silent, and a
 * time-out may be this node's own.
 */
internal class StallCompensation(
    private val now: Now,
    private val metrics: Metrics,
) {
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
            if (gap > Tuning.BUSY_TICK_MS) busyAt = now.steady
        }
        tickAt = now.steady
    }

    private var busyAt = Long.MIN_VALUE / 2

    /** More is to be done than this node keeps up with: ticks were late a moment ago. */
    val isBusy: Boolean get() = behind || now.steady - busyAt < Tuning.BUSY_MS

    /** The last batch was full: more commands wait. */
    var behind = false

    /** ms that the last pass took. */
    private var passTook = 0L

    /**
     * At most one pass in a while, more seldom while commands wait and after one that took long: a pass for every batch
     * would keep the node behind, and leave workers without answers.
     */
    fun mayPass(): Boolean {
        val pause =
            maxOf(
                if (behind) Tuning.BEHIND_PASS_MS else Tuning.PASS_MS,
                minOf(passTook * Tuning.PASS_REST, Tuning.MOST_PASS_MS),
            )
        if (now.steady - passAt < pause) return false
        passAt = now.steady
        return true
    }

    fun passed(ms: Long) {
        passTook = ms
    }
}
