package ledgearch.runtime

/**
 * How far this node is behind with its own work, by one measure: the time since it was due to see the next tick. A tick
 * waits in the same line as reports and answers, so it is late by the time that they wait, and by the time for which
 * the process stands still. While this node is behind, and for a moment after it, reports and answers may wait here
 * unread: nobody was silent, and a time-out may be this node's own.
 */
internal class StallCompensation(
    private val clock: Clock,
    private val metrics: Metrics,
) {
    /** A time (steady ms) in which this node was behind. */
    private class Stall(
        val from: Long,
        var until: Long,
    )

    private val stalls = ArrayDeque<Stall>()

    /** When the last tick seen was put in line, and when it was seen; 0 before the first. */
    private var tickQueuedAt = 0L
    private var tickSeenAt = 0L
    private var passAt = Long.MIN_VALUE / 2

    /** ms that the last pass took. */
    private var passTook = 0L

    /** A batch begins: before anything of it is taken for a time-out, this node knows how late it is. */
    fun began() {
        if (tickQueuedAt != 0L &&
            clock.steadyMs - tickQueuedAt - RuntimeTuning.TICK_MS > RuntimeTuning.BEHIND_MS
        ) {
            addStall()
        }
    }

    /** A tick has come that was put in line at [queuedAt] (steady ms); ticks are due every [RuntimeTuning.TICK_MS]. */
    fun ticked(queuedAt: Long) {
        began()
        if (tickSeenAt != 0L) metrics.ticked(clock.steadyMs - tickSeenAt)
        tickSeenAt = clock.steadyMs
        tickQueuedAt = queuedAt
        began()
    }

    private fun addStall() {
        val until = clock.steadyMs + RuntimeTuning.CATCH_UP_MS
        val last = stalls.lastOrNull()
        if (last != null &&
            tickQueuedAt <= last.until
        ) {
            last.until = until
        } else {
            stalls.addLast(Stall(tickQueuedAt, until))
        }
        while (clock.steadyMs - stalls.first().until > RuntimeTuning.STALLS_KEPT_MS) stalls.removeFirst()
    }

    /** This node does not keep up, or did not a moment ago. */
    val isLagging: Boolean get() = wasLaggingSince(clock.steadyMs)

    /** This node was behind at some time from [time] (steady ms) on. */
    fun wasLaggingSince(time: Long): Boolean = stalls.lastOrNull().let { it != null && it.until > time }

    /** ms since [time] (steady ms) in which this node kept up: who was silent for those was not heard here. */
    fun attentiveMsSince(time: Long): Long {
        var behind = 0L
        for (i in stalls.indices.reversed()) {
            val stall = stalls[i]
            if (stall.until <= time) break
            behind += minOf(stall.until, clock.steadyMs) - maxOf(stall.from, time)
        }
        return clock.steadyMs - time - behind
    }

    /**
     * The latest time (steady ms) since which this node kept up for more than [ms]: the inverse of [attentiveMsSince].
     */
    fun attentiveSince(ms: Long): Long {
        var left = ms
        var end = clock.steadyMs
        for (i in stalls.indices.reversed()) {
            val stall = stalls[i]
            val kept = (end - stall.until).coerceAtLeast(0)
            if (kept > left) break
            left -= kept
            end = minOf(end, stall.from)
        }
        return end - left - 1
    }

    /**
     * At most one pass in a while, more seldom while this node is behind and after one that took long: a pass for every
     * batch would keep it behind, and leave workers without answers.
     */
    fun mayPass(): Boolean {
        val pause =
            maxOf(
                if (isLagging) RuntimeTuning.BEHIND_PASS_MS else RuntimeTuning.PASS_MS,
                minOf(passTook * RuntimeTuning.PASS_REST, RuntimeTuning.MOST_PASS_MS),
            )
        if (clock.steadyMs - passAt < pause) return false
        passAt = clock.steadyMs
        return true
    }

    fun passed(ms: Long) {
        passTook = ms
    }
}
