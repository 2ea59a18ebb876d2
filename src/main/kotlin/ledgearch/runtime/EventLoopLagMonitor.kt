package ledgearch.runtime

/**
 * Tracks the event-loop lag of this node: the time since the next tick was due to be handled. A tick waits in the same
 * queue as heartbeats and replies, so its lag is their queueing delay, and it also covers the scheduling delay of a
 * process that gets no processor time or is frozen. While the lag is above [RuntimeTuning.LAG_THRESHOLD_MS], and for
 * [RuntimeTuning.CATCH_UP_MS] afterwards, heartbeats and replies may wait here unread. Silence during that time proves
 * nothing about the peers, and a timeout may be caused by this node itself.
 *
 * It also paces the placement passes, so that they do not increase the lag. Times are ms of [Clock.steadyMs].
 */
internal class EventLoopLagMonitor(
    private val clock: Clock,
    private val metrics: Metrics,
) {
    /** A period in which this node lagged, including the [RuntimeTuning.CATCH_UP_MS] after it. */
    private class Stall(
        val fromMs: Long,
        var untilMs: Long,
    )

    /** Oldest first; they do not overlap. */
    private val stalls = ArrayDeque<Stall>()

    /** Times at which the last handled tick was queued and handled; 0 before the first tick. */
    private var tickQueuedAtMs = 0L
    private var tickHandledAtMs = 0L

    /** Initially in the distant past, so that a pass may start at once. */
    private var lastPassStartedAtMs = Long.MIN_VALUE / 2

    private var lastPassDurationMs = 0L

    /** Measures the lag at the start of a batch, before the batch evaluates any timeout. */
    fun measureLag() {
        if (tickQueuedAtMs == 0L) return
        val lagMs = clock.steadyMs - tickQueuedAtMs - RuntimeTuning.TICK_INTERVAL_MS
        if (lagMs > RuntimeTuning.LAG_THRESHOLD_MS) addStall()
    }

    /** Records the handling of a tick, due every [RuntimeTuning.TICK_INTERVAL_MS], that was queued at [queuedAtMs]. */
    fun recordTick(queuedAtMs: Long) {
        measureLag()
        if (tickHandledAtMs != 0L) metrics.recordTickGap(clock.steadyMs - tickHandledAtMs)
        tickHandledAtMs = clock.steadyMs
        tickQueuedAtMs = queuedAtMs
        measureLag()
    }

    /** Adds a stall that began when the last tick was queued, or extends the previous stall if they overlap. */
    private fun addStall() {
        val untilMs = clock.steadyMs + RuntimeTuning.CATCH_UP_MS
        val last = stalls.lastOrNull()
        if (last != null && tickQueuedAtMs <= last.untilMs) {
            last.untilMs = untilMs
        } else {
            stalls.addLast(Stall(tickQueuedAtMs, untilMs))
        }
        while (clock.steadyMs - stalls.first().untilMs > RuntimeTuning.STALL_RETENTION_MS) stalls.removeFirst()
    }

    /** Whether this node lags, or did so a moment ago. */
    val isLagging: Boolean get() = wasLaggingSince(clock.steadyMs)

    /** Returns whether this node lagged at any time since [timeMs]. */
    fun wasLaggingSince(timeMs: Long): Boolean = stalls.lastOrNull().let { it != null && it.untilMs > timeMs }

    /** Returns the ms since [timeMs] in which this node did not lag. Only these count as silence of a peer. */
    fun responsiveMsSince(timeMs: Long): Long {
        var laggingMs = 0L
        for (index in stalls.indices.reversed()) {
            val stall = stalls[index]
            if (stall.untilMs <= timeMs) break
            laggingMs += minOf(stall.untilMs, clock.steadyMs) - maxOf(stall.fromMs, timeMs)
        }
        return clock.steadyMs - timeMs - laggingMs
    }

    /**
     * Returns the latest time since which this node was free of lag for more than [durationMs]: the inverse of
     * [responsiveMsSince].
     */
    fun responsiveSince(durationMs: Long): Long {
        var remainingMs = durationMs
        var endMs = clock.steadyMs
        for (index in stalls.indices.reversed()) {
            val stall = stalls[index]
            val responsiveMs = (endMs - stall.untilMs).coerceAtLeast(0)
            if (responsiveMs > remainingMs) break
            remainingMs -= responsiveMs
            endMs = minOf(endMs, stall.fromMs)
        }
        return endMs - remainingMs - 1
    }

    /**
     * Returns whether a placement pass may start now, and if so records its start. Passes are at least an interval
     * apart, which is longer while this node lags and after a long pass: a pass for every batch would keep the node
     * lagging and leave workers without replies.
     */
    fun tryStartPass(): Boolean {
        val minIntervalMs = if (isLagging) RuntimeTuning.LAGGING_PASS_INTERVAL_MS else RuntimeTuning.PASS_INTERVAL_MS
        val lastPassIntervalMs =
            minOf(lastPassDurationMs * RuntimeTuning.PASS_INTERVAL_FACTOR, RuntimeTuning.MAX_PASS_INTERVAL_MS)
        val intervalMs = maxOf(minIntervalMs, lastPassIntervalMs)
        if (clock.steadyMs - lastPassStartedAtMs < intervalMs) return false
        lastPassStartedAtMs = clock.steadyMs
        return true
    }

    /** Records that a placement pass took [durationMs]. */
    fun recordPassDuration(durationMs: Long) {
        lastPassDurationMs = durationMs
    }
}
