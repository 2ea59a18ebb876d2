package ledgearch.peers

import kotlinx.coroutines.CoroutineScope
import okio.ByteString
import java.nio.channels.AsynchronousChannelGroup

/**
 * TCP connections between controllers: one from every follower to the leader. Not thread-safe: its functions, [scope]
 * and [group] have to run on one thread.
 */
internal class TcpMesh(
    scope: CoroutineScope,
    group: AsynchronousChannelGroup,
    listener: MeshListener,
    /** Whether followers can request the replication stream, and this node requests it from the leader. */
    isStandbyEnabled: Boolean = false,
) : Mesh {
    private val followers = FollowerConnections(scope, group, listener, isStandbyEnabled)
    private val leader = LeaderConnection(scope, group, listener, isStandbyEnabled)

    override val acceptedFollowerCount: Int get() = followers.acceptedCount

    /** Starts to accept followers at [address]. Throws an exception when the address is in use. */
    fun listen(address: String) = followers.listen(address)

    override fun follow(address: String?) = leader.follow(address)

    override fun reconnect() = leader.reconnect()

    override fun publish(status: LeaderStatus) = followers.publish(status)

    override fun sendStreamFrame(
        followerId: Long,
        body: ByteString,
    ): Boolean = followers.sendStreamFrame(followerId, body)
}
