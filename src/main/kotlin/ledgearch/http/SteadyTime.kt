package ledgearch.http

/** Steady clock for the timeouts of connections: it never jumps, and its origin has no meaning. */
internal object SteadyTime {
    const val NANOS_PER_MS = 1_000_000L

    /** Returns the current time in ms. */
    fun nowMs(): Long = System.nanoTime() / NANOS_PER_MS
}
