package ledgearch.peers

/** Event of a replication stream between controllers. */
internal sealed interface StandbyEvent {
    /** A follower of this node has requested the stream; [followerId] identifies its connection. */
    data class FollowerJoined(
        val followerId: Long,
    ) : StandbyEvent

    /** The connection of a follower to this node has ended, whether or not it had requested the stream. */
    data class FollowerLeft(
        val followerId: Long,
    ) : StandbyEvent

    /** The [frame] was received from the controller at the mesh address [address]. */
    data class FrameReceived(
        val address: String,
        val frame: StreamFrame,
    ) : StandbyEvent
}
