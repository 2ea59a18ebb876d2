package ledgearch.standby

/** Intervals and limits of warm standby. */
internal object StandbyTuning {
    /** Interval between frames of the replication stream. A new leader recovers a second of changes quickly anyway. */
    const val STREAM_INTERVAL_MS = 1_000L

    /** Size of a frame's records with a whole processor; a snapshot of a thousand machines then takes about 10 s. */
    const val MAX_FRAME_RECORDS_BYTES = 64 * 1024

    /** Size of a frame's records with the smallest share of a processor; encoding takes well under a millisecond. */
    const val MIN_FRAME_RECORDS_BYTES = 4 * 1024

    /** Limit of the streamed state and of a replica, each of which takes at most this much of the 96 MB heap. */
    const val MAX_REPLICA_BYTES = 4L * 1024 * 1024

    /** Replica lag from which on the claim delay is longest; a failed leader is replaced within this time. */
    const val LAG_OF_MAX_DELAY_MS = 10_000L

    /** Limit of a mean error, a factor of about 1000; a larger one is ignored as implausible. */
    const val MAX_HINT_LOG_RATIO = 6.9

    /** Pause of starts on a machine that the previous leader was releasing; by then the cloud's list shows it. */
    const val RELEASING_HINT_DURATION_MS = 10_000L
}
