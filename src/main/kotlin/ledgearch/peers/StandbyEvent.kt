package ledgearch.peers

/** Event of a replication stream between controllers. */
internal sealed interface StandbyEvent {
    /** The connection [follower] to this node has requested the stream. */
    data class FollowerJoined(
        val follower: Long,
    ) : StandbyEvent

    /** The connection [follower] to this node has ended, whether or not it had requested the stream. */
    data class FollowerLeft(
        val follower: Long,
    ) : StandbyEvent

    /** The [frame] was received from the controller at the mesh address [address]. */
    data class FrameReceived(
        val address: String,
        val frame: StreamFrame,
    ) : StandbyEvent
}
