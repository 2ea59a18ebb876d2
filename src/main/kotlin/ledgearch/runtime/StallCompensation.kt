package ledgearch.runtime

/**
 * How far this node is behind with its own work, by one measure: the event-loop lag, which is the time since the next
 * tick was due to be handled. A tick waits in the same queue as heartbeats and replies, so its lag is their queueing
 * delay as well as the scheduling delay of a process that gets no processor time or stands still. While the lag is
 * above [RuntimeTuning.BEHIND_MS], and for [RuntimeTuning.CATCH_UP_MS] after it, heartbeats and replies may wait here
 * unread: nobody was silent, and a time-out may be this node's own.
 *
 * Times are ms of [Clock.steadyMs]. It also paces the passes of placement, so that these do not add to the lag.
 */
internal class StallCompensation(
    private val clock: Clock,
    private val metrics: Metrics,
) {
    /** A time (steady ms) in which this node was behind, with the [RuntimeTuning.CATCH_UP_MS] after it. */
    private class Stall(
        val from: Long,
        var until: Long,
    )

    /** The oldest first; they do not overlap. */
    private val stalls = ArrayDeque<Stall>()

    /** When the last tick handled was put in the queue, and when it was handled; 0 before the first. */
    private var tickQueuedAt = 0L
    private var tickHandledAt = 0L

    /** When the last pass was let begin; at first so long ago that one may begin at once. */
    private var passAt = Long.MIN_VALUE / 2

    /** ms that the last pass took. */
    private var passTook = 0L

    /** A batch begins: before anything of it is taken for a time-out, this node knows how late it is. */
    fun began() {
        if (tickQueuedAt == 0L) return
        val lag = clock.steadyMs - tickQueuedAt - RuntimeTuning.TICK_MS
        if (lag > RuntimeTuning.BEHIND_MS) addStall()
    }

    /** A tick is handled that was queued at [queuedAt] (steady ms); one is due every [RuntimeTuning.TICK_MS]. */
    fun ticked(queuedAt: Long) {
        began()
        if (tickHandledAt != 0L) metrics.ticked(clock.steadyMs - tickHandledAt)
        tickHandledAt = clock.steadyMs
        tickQueuedAt = queuedAt
        began()
    }

    /** A stall since the last tick was queued; it is a part of the one before where the two touch. */
    private fun addStall() {
        val until = clock.steadyMs + RuntimeTuning.CATCH_UP_MS
        val last = stalls.lastOrNull()
        if (last != null && tickQueuedAt <= last.until) {
            last.until = until
        } else {
            stalls.addLast(Stall(tickQueuedAt, until))
        }
        while (clock.steadyMs - stalls.first().until > RuntimeTuning.STALLS_KEPT_MS) stalls.removeFirst()
    }

    /** This node is behind, or was a moment ago. */
    val isLagging: Boolean get() = wasLaggingSince(clock.steadyMs)

    /** This node was behind at some time from [time] (steady ms) on. */
    fun wasLaggingSince(time: Long): Boolean = stalls.lastOrNull().let { it != null && it.until > time }

    /** ms since [time] (steady ms) in which this node kept up: who was silent for those was not heard here. */
    fun attentiveMsSince(time: Long): Long {
        var behind = 0L
        for (index in stalls.indices.reversed()) {
            val stall = stalls[index]
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
        for (index in stalls.indices.reversed()) {
            val stall = stalls[index]
            val attentive = (end - stall.until).coerceAtLeast(0)
            if (attentive > left) break
            left -= attentive
            end = minOf(end, stall.from)
        }
        return end - left - 1
    }

    /**
     * Whether a pass of placement may begin now; if so it counts as begun. At most one in a while, more seldom while
     * this node is behind and after one that took long: a pass for every batch would keep it behind, and leave workers
     * without answers.
     */
    fun mayPass(): Boolean {
        val leastPause = if (isLagging) RuntimeTuning.BEHIND_PASS_MS else RuntimeTuning.PASS_MS
        val restAfterLast = minOf(passTook * RuntimeTuning.PASS_REST, RuntimeTuning.MOST_PASS_MS)
        val pause = maxOf(leastPause, restAfterLast)
        if (clock.steadyMs - passAt < pause) return false
        passAt = clock.steadyMs
        return true
    }

    /** A pass of placement has taken [ms]. */
    fun passed(ms: Long) {
        passTook = ms
    }
}
