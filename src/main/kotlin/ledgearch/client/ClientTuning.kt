package ledgearch.client

/** The `status` command: constants with their unit and the reason for their value. */
internal object ClientTuning {
    /** ms. A controller that is behind with its work answers within a few seconds. */
    const val ANSWER_MS = 5_000L
}
