package ledgearch.standby

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * State of the warm standby as reported by `GET /metrics`: the replication stream of a leader or the replica of a
 * follower. Counters start with the process.
 */
@Serializable
internal data class StandbyReport(
    /** [LEADER] or [FOLLOWER]. */
    val role: String,
    /** Leadership term of the stream or the replica; 0 for none. */
    val term: Long,
    /** Sequence number of the last streamed interval or the last applied frame. */
    val sequence: Long,
    /** Records in the leader's streamed state or in the replica. */
    @SerialName("records_held") val recordsHeld: Int,
    /** Changed records not sent yet to the slowest follower, or to this replica. */
    @SerialName("records_behind") val recordsBehind: Int,
    /** Time since the replica last equalled the leader's state; 0 on the leader, [NO_REPLICA] without a snapshot. */
    @SerialName("ms_behind") val msBehind: Long,
    /** Number of followers that receive the stream. */
    val followers: Int,
    /** Snapshots sent completely. */
    @SerialName("snapshots_sent") val snapshotsSent: Long,
    /** Streams ended because the follower was too slow or gone. */
    @SerialName("streams_dropped") val streamsDropped: Long,
    /** Replicas dropped because a frame could not be applied. */
    @SerialName("replicas_dropped") val replicasDropped: Long,
    /** Bytes of the sent stream frames without their headers. */
    @SerialName("bytes_sent") val bytesSent: Long,
    /** Changed and removed records; a record counts at most once per interval. */
    @SerialName("changes_sent") val changesSent: Long,
) {
    companion object {
        /** [role] of the leader. */
        const val LEADER = "leader"

        /** [role] of any other node. */
        const val FOLLOWER = "follower"

        /** [msBehind] of a node without a whole snapshot. */
        const val NO_REPLICA = -1L
    }
}
