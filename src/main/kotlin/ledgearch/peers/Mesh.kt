package ledgearch.peers

import okio.ByteString

/**
 * The owner's side of the connections between controllers: each of the others keeps one to the leader. Called by the
 * owner alone; no function waits.
 */
internal interface Mesh {
    /**
     * Keeps a connection to the leader at [address], or to nobody; a repeat with the same address changes nothing. The
     * leader's status and the end of its process come back as commands.
     */
    fun follow(address: String?)

    /** Sends the leader's status to all that follow this node. One whose queue is full misses it. */
    fun publish(status: LeaderStatus)

    /**
     * Sends a frame of the decision stream with this [body] to [follower]. False: it does not keep up (backpressure) or
     * is gone, and its connection is closed. A mesh without streams has no followers that ask for one.
     */
    fun stream(
        follower: Long,
        body: ByteString,
    ): Boolean = false

    /** Ends the connection to the leader and makes a new one, to get a new snapshot. */
    fun reconnect() = Unit

    /**
     * Connections from followers that were ever accepted. It never falls, so that any change means a new follower,
     * which has received nothing yet.
     */
    val joined: Int
}
