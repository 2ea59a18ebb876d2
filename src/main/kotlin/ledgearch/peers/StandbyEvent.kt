package ledgearch.peers

/** What the connections between controllers tell the owner about decision streams. */
internal sealed interface StandbyEvent {
    /** A follower asks for the stream. */
    data class FollowerJoined(
        val follower: Long,
    ) : StandbyEvent

    data class FollowerLeft(
        val follower: Long,
    ) : StandbyEvent

    /** A frame arrived from the controller at this mesh address. */
    data class FrameReceived(
        val address: String,
        val frame: StreamFrame,
    ) : StandbyEvent
}
