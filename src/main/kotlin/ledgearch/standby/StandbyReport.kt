package ledgearch.standby

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The lag of a follower's replica, or what a leader streams, as `GET /metrics` reports it. Counters count from the
 * start of the process.
 */
@Serializable
internal data class StandbyReport(
    /** [LEADER] or [FOLLOWER]. */
    val role: String,
    /** Leadership term of the stream or of the replica; 0: none. */
    val term: Long,
    /** Sequence number of the last interval that was streamed, or of the last frame in the replica. */
    val sequence: Long,
    /** Records in the leader's streamed state, or in the replica. */
    @SerialName("records_held") val recordsHeld: Int,
    /** Records that the slowest follower, or this replica, has still to be sent. */
    @SerialName("records_behind") val recordsBehind: Int,
    /** Time since the replica last equalled the leader's state (ms): 0 on the leader, or [NO_REPLICA]. */
    @SerialName("ms_behind") val msBehind: Long,
    /** Followers of the stream. */
    val followers: Int,
    /** Snapshots sent in full. */
    @SerialName("snapshots_sent") val snapshotsSent: Long,
    /** Streams ended since the follower did not keep up or was gone. */
    @SerialName("streams_dropped") val streamsDropped: Long,
    /** Replicas dropped since a frame did not continue them. */
    @SerialName("replicas_dropped") val replicasDropped: Long,
    /** Bytes of stream frames sent, without their headers. */
    @SerialName("bytes_sent") val bytesSent: Long,
    /** Changed or removed records, counted once an interval. */
    @SerialName("changes_sent") val changesSent: Long,
) {
    companion object {
        /** [role] of a node that leads. */
        const val LEADER = "leader"

        /** [role] of any other node. */
        const val FOLLOWER = "follower"

        /** [msBehind] of a node that holds no whole replica. */
        const val NO_REPLICA = -1L
    }
}
