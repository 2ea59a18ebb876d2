package ledgearch.runtime

/** Permits that refill steadily, with bursts of one second's worth. */
internal class TokenBucket(
    var perSecond: Double,
) {
    private var level = perSecond
    private var at = Long.MIN_VALUE

    fun refill(nowMs: Long) {
        if (at != Long.MIN_VALUE) level = minOf(perSecond, level + (nowMs - at) * perSecond / 1000.0)
        at = nowMs
    }

    fun has(n: Int) = level >= minOf(n.toDouble(), perSecond)

    fun take(n: Int) {
        level -= n
    }
}
