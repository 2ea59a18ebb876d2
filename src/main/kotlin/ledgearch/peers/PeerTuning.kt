package ledgearch.peers

/** Limits and delays of the connections between controllers. */
internal object PeerTuning {
    /** The limit of earlier versions too. A longer body is malformed. */
    const val MAX_STATUS_BODY_BYTES = 1 shl 20

    /** Room for a full frame and the largest record, a machine with all its tasks. A longer body is malformed. */
    const val MAX_STREAM_BODY_BYTES = 256 * 1024

    /** Far more than the handful of controllers of a deployment. */
    const val MAX_FOLLOWERS = 16

    /** Frames queued for one follower; few, as a follower disconnected for a full queue gets a new snapshot. */
    const val MAX_QUEUED_FRAMES = 8

    /** Keeps a status frame below [MAX_STATUS_BODY_BYTES] even with the longest ids. */
    const val MAX_JOBS_PER_FRAME = 2_000

    /** A connection on which the leader sends nothing for this long is replaced. */
    const val MAX_LEADER_SILENCE_MS = 4_000L

    const val RECONNECT_DELAY_MS = 150L

    /** Consecutive refused connections after which the end of the leader's process is assumed and reported. */
    const val REFUSALS_BEFORE_REPORT = 2
}
