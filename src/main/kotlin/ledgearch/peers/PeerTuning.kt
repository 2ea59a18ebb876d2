package ledgearch.peers

/** Connections between controllers: constants with their unit and the reason for their value. */
internal object PeerTuning {
    /** Bytes. A longer frame is malformed: a full one and the largest record, of a machine with all its tasks. */
    const val STREAM_FRAME_MAX = 256 * 1024

    /** Connections. Other controllers that may follow this one; a deployment has a handful. */
    const val MAX_FOLLOWERS = 16

    /** Frames. Waiting for one follower. */
    const val MESH_QUEUE = 8

    /** Jobs. Told of in one frame: with the longest names it stays under the 1 MiB that earlier versions take. */
    const val JOBS_A_FRAME = 2_000

    /** ms. A leader silent for this long is connected to anew. */
    const val MESH_SILENT_MS = 4_000L

    /** ms. Between two tries to connect. */
    const val MESH_RETRY_MS = 150L

    /** Refused connections in a row after which the leader's process is taken for ended. */
    const val REFUSALS = 2
}
