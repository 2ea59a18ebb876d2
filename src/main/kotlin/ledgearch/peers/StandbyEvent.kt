package ledgearch.peers

/** An event on the connections between controllers that concerns decision streams. */
internal sealed interface StandbyEvent {
    /** The connection [follower] to this node asks for the stream. */
    data class FollowerJoined(
        val follower: Long,
    ) : StandbyEvent

    /** The connection [follower] to this node has ended, whether or not it had asked for the stream. */
    data class FollowerLeft(
        val follower: Long,
    ) : StandbyEvent

    /** [frame] arrived from the controller at the mesh address [address]. */
    data class FrameReceived(
        val address: String,
        val frame: StreamFrame,
    ) : StandbyEvent
}
