package ledgearch.peers

import kotlinx.coroutines.CoroutineScope
import okio.ByteString
import java.nio.channels.AsynchronousChannelGroup

/**
 * The connections between controllers: one from every other node to the leader, kept as long as it holds. Not
 * thread-safe: its functions, [scope] and [group] have to run on one thread.
 */
internal class MeshLinks(
    scope: CoroutineScope,
    group: AsynchronousChannelGroup,
    events: MeshEvents,
    /** Warm standby is on: followers may ask for the decision stream, and this node asks for it. */
    streams: Boolean = false,
) : Mesh {
    private val followers = FollowerLinks(scope, group, events, streams)
    private val leader = LeaderLink(scope, group, events, streams)

    override val joined: Int get() = followers.accepted

    /** Accepts followers at [address] from now on. Throws when the address is taken. */
    fun listen(address: String) = followers.listen(address)

    override fun follow(address: String?) = leader.follow(address)

    override fun reconnect() = leader.reconnect()

    override fun publish(status: LeaderStatus) = followers.publish(status)

    override fun stream(
        follower: Long,
        body: ByteString,
    ): Boolean = followers.stream(follower, body)
}
