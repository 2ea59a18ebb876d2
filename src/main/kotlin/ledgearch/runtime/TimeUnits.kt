package ledgearch.runtime

/** Milliseconds per second, for settings and messages in seconds. */
internal const val MS_PER_SECOND = 1000.0
