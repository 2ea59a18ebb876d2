package ledgearch.peers

import okio.ByteString

/**
 * Connections between controllers, as used by the owner: each follower keeps one to the leader. Only the owner may call
 * the functions, none of which blocks.
 */
internal interface Mesh {
    /**
     * Keeps a connection to the leader at [address], or none if it is null; has no effect if the address is unchanged.
     * The leader's status and the end of its process are reported as commands to the owner.
     */
    fun follow(address: String?)

    /** Sends the [status] of this leader to all followers. A follower whose queue is full does not receive it. */
    fun publish(status: LeaderStatus)

    /**
     * Sends a frame of the replication stream with the [body] to a follower. Returns false if the follower is too slow
     * (its queue is full) or gone; its connection is then closed. Without warm standby no follower requests a stream.
     */
    fun sendStreamFrame(
        followerId: Long,
        body: ByteString,
    ): Boolean = false

    /** Replaces the connection to the leader by a new one, over which the leader sends a new snapshot. */
    fun reconnect() = Unit

    /**
     * Number of connections from followers accepted so far. It never decreases, so any change means a new follower that
     * has received nothing yet.
     */
    val acceptedFollowerCount: Int
}
