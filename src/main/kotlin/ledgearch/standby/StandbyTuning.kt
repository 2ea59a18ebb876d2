package ledgearch.standby

/** Warm standby: constants with their unit and the reason for their value. */
internal object StandbyTuning {
    /** ms. Between two frames of the decision stream: a failover finds out a second of decisions quickly anyway. */
    const val STREAM_INTERVAL_MS = 1_000L

    /** Bytes. Records in one frame on a whole processor; a snapshot of a thousand machines then takes some 10 s. */
    const val STREAM_FRAME_BYTES = 64 * 1024

    /** Bytes. The same on the smallest share of a processor: some 4 KiB is encoded in well under a millisecond. */
    const val STREAM_FRAME_LEAST = 4 * 1024

    /** Bytes. The state that is streamed and the replica each take so much of the heap's 96 MB at most. */
    const val REPLICA_BYTES = 4L * 1024 * 1024

    /** ms. With this lag or a longer one a candidate has no head start: leaders are replaced within this time. */
    const val HEAD_START_LAG_MS = 10_000L

    /** Natural logarithm. Run times further off their estimates than by a factor of 1000 are not believed. */
    const val RUN_TIME_HINT_MAX = 6.9

    /** ms. A machine that the replaced leader was returning gets nothing new: by then the cloud's list shows it. */
    const val RETURNING_HINT_MS = 10_000L
}
