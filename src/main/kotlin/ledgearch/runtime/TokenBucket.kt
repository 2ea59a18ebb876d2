package ledgearch.runtime

/**
 * Permits that refill steadily, at [perSecond], with bursts of one second's worth. It is full at first, and knows the
 * time only from [refill].
 */
internal class TokenBucket(
    /** Permits; a change holds from the next [refill] on. */
    var perSecond: Double,
) {
    private var permits = perSecond

    /** ms on the steady clock; [NEVER] before the first refill. */
    private var refilledAt = NEVER

    /** Adds the permits since the last refill; [nowMs] is on the steady clock. */
    fun refill(nowMs: Long) {
        if (refilledAt != NEVER) {
            permits = minOf(perSecond, permits + (nowMs - refilledAt) * perSecond / MS_PER_SECOND)
        }
        refilledAt = nowMs
    }

    /** Whether [count] permits may be taken now; for more than a second's worth a full bucket is enough. */
    fun has(count: Int): Boolean = permits >= minOf(count.toDouble(), perSecond)

    /** Takes [count] permits, even if there are fewer: what is missing is paid by later refills. */
    fun take(count: Int) {
        permits -= count
    }

    private companion object {
        const val NEVER = Long.MIN_VALUE
    }
}
