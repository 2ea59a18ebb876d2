package ledgearch.runtime

/** ms in a second, as a factor of settings and messages in seconds. */
internal const val MS_PER_SECOND = 1000.0
