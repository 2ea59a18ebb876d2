package ledgearch.peers

/** Connections between controllers: constants with their unit and the reason for their value. */
internal object PeerTuning {
    /** Bytes. A longer body of a status frame is malformed; earlier versions take as much. */
    const val STATUS_FRAME_MAX = 1 shl 20

    /** Bytes. A longer body is malformed: a full one and the largest record, of a machine with all its tasks. */
    const val STREAM_FRAME_MAX = 256 * 1024

    /** Connections. Other controllers that may follow this one; a deployment has a handful. */
    const val MAX_FOLLOWERS = 16

    /** Frames. Waiting for one follower: small, since a follower that is disconnected comes back for the whole. */
    const val FOLLOWER_QUEUE = 8

    /** Jobs. In one status frame: with the longest names it stays under [STATUS_FRAME_MAX]. */
    const val JOBS_PER_FRAME = 2_000

    /** ms. A leader that has sent nothing for this long is connected to anew. */
    const val LEADER_SILENCE_MS = 4_000L

    /** ms. Between two attempts to connect. */
    const val RECONNECT_MS = 150L

    /** Refused connections in a row after which the leader's process is taken for ended. */
    const val REFUSALS_UNTIL_ENDED = 2
}
