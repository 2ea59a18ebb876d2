package ledgearch.http

/** The clock that connections are timed by: it never jumps, and its zero has no meaning. */
internal object SteadyTime {
    const val NANOS_PER_MS = 1_000_000L

    /** ms. */
    fun nowMs(): Long = System.nanoTime() / NANOS_PER_MS
}
