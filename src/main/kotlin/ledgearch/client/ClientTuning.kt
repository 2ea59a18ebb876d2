package ledgearch.client

/** Timeouts of the `status` command. */
internal object ClientTuning {
    /** A lagging controller may need a few seconds to respond. */
    const val RESPONSE_TIMEOUT_MS = 5_000L
}
