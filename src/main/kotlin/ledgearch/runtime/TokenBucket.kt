package ledgearch.runtime

/**
 * A token bucket that refills at [permitsPerSecond] permits per second and holds one second's worth, the largest burst.
 * It is full at first, and its time advances only with [refill].
 */
internal class TokenBucket(
    /** Permits per second; a change takes effect at the next [refill]. */
    var permitsPerSecond: Double,
) {
    private var permits = permitsPerSecond

    /** Steady-clock ms of the last refill; [NEVER] before the first. */
    private var refilledAtMs = NEVER

    /** Adds the permits accrued since the last refill; [nowMs] is on the steady clock. */
    fun refill(nowMs: Long) {
        if (refilledAtMs != NEVER) {
            permits = minOf(permitsPerSecond, permits + (nowMs - refilledAtMs) * permitsPerSecond / MS_PER_SECOND)
        }
        refilledAtMs = nowMs
    }

    /** Returns whether [count] permits can be taken now. For more than a second's worth, a full bucket is enough. */
    fun hasPermits(count: Int): Boolean = permits >= minOf(count.toDouble(), permitsPerSecond)

    /** Takes [count] permits even if fewer are available; later refills make up for the deficit. */
    fun take(count: Int) {
        permits -= count
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
