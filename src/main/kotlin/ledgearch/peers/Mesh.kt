package ledgearch.peers

import okio.ByteString

/** The owner's side of the connections between controllers. */
internal interface Mesh {
    /** Keeps a connection to [address], or to nobody; news and its end come back as commands. */
    fun follow(address: String?)

    /** Sends [news] to all that follow this node. */
    fun publish(news: LeaderStatus)

    /**
     * Sends a frame of the decision stream to [follower]. False: it does not keep up, and its connection is closed.
     * A mesh without streams has no followers that ask for one.
     */
    fun stream(
        follower: Long,
        body: ByteString,
    ): Boolean = false

    /** Ends the connection to the leader and makes a new one, for a new snapshot. */
    fun reconnect() = Unit

    /** How many follow this node; counts connections that were ever made, so that a newcomer is noticed. */
    val joined: Int
}
