package ledgearch.simulation

import ledgearch.control.OwnerCommand
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MalformedFrameException
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.peers.StreamCodec
import okio.ByteString

/** The connections of a controller to the others. Frames of the replication stream are encoded and decoded. */
internal class SimulatedMesh(
    private val simulation: Simulation,
    private val node: SimulatedNode,
    private val isAlive: () -> Boolean,
) : Mesh {
    private var leaderAddress: String? = null

    /** The id of the connection of this node to a leader, or 0. Frames of earlier connections are dropped. */
    private var currentConnectionId = 0L
    override val acceptedFollowerCount = simulation.nodes.size

    override fun follow(address: String?) {
        if (leaderAddress == address) return
        leaderAddress = address
        currentConnectionId = 0
        if (address == null) return
        checkRefusal(address)
        connect(address)
    }

    /**
     * Reports that the peer refuses connections: its process is dead, has no free sockets or has not read the state
     * service. An unreachable peer does not reply at all.
     */
    private fun checkRefusal(address: String) {
        if (!isAlive() || leaderAddress != address) return
        val peer = peerAt(address)
        if ((!peer.isListening || peer.refusesConnections) && !simulation.network.isUnreachable(node.name, peer.name)) {
            node.handle(OwnerCommand.HandlePeerRefusal(address))
        }
        simulation.clock.after(CHECK_INTERVAL_MS) { checkRefusal(address) }
    }

    private fun peerAt(address: String) = simulation.nodes.first { it.name == address.substringBefore(':') }

    private fun connect(address: String) {
        if (!node.hasStandby) return
        val connectionId = simulation.streams.openConnection(node, ::receive)
        currentConnectionId = connectionId
        simulation.clock.after(RECONNECT_DELAY_MS) { requestStream(address, connectionId) }
    }

    /** Requests the leader's stream, repeatedly until the leader is up and reachable. */
    private fun requestStream(
        address: String,
        connectionId: Long,
    ) {
        if (!isAlive() || currentConnectionId != connectionId) return
        val peer = peerAt(address)
        if (peer.hasStandby && peer.isUp && !simulation.network.isUnreachable(node.name, peer.name)) {
            val instance = peer.instance
            peer.handle(OwnerCommand.HandleStandbyEvent(StandbyEvent.FollowerJoined(connectionId)))
            monitorConnection(address, connectionId, instance)
        } else {
            simulation.clock.after(CHECK_INTERVAL_MS) { requestStream(address, connectionId) }
        }
    }

    /** Connects again when the leader's process has ended, and notifies the leader when this node has left. */
    private fun monitorConnection(
        address: String,
        connectionId: Long,
        instance: Int,
    ) {
        if (!isAlive() || currentConnectionId != connectionId) {
            val peer = peerAt(address)
            if (peer.instance == instance && peer.isUp) {
                peer.handle(OwnerCommand.HandleStandbyEvent(StandbyEvent.FollowerLeft(connectionId)))
            }
            return
        }
        if (peerAt(address).instance != instance) return connect(address)
        simulation.clock.after(CHECK_INTERVAL_MS) { monitorConnection(address, connectionId, instance) }
    }

    override fun reconnect() {
        currentConnectionId = 0
        leaderAddress?.let(::connect)
    }

    private fun receive(
        connectionId: Long,
        body: ByteString,
    ) {
        val address = leaderAddress
        if (!isAlive() || connectionId != currentConnectionId || address == null) return
        try {
            node.handle(OwnerCommand.HandleStandbyEvent(StandbyEvent.FrameReceived(address, StreamCodec.decode(body))))
        } catch (_: MalformedFrameException) {
            simulation.streams.malformedFrameCount++
            reconnect()
        }
    }

    override fun sendStreamFrame(
        followerId: Long,
        body: ByteString,
    ): Boolean = simulation.streams.send(simulation, node, followerId, body)

    override fun publish(status: LeaderStatus) {
        for (other in simulation.nodes) {
            if (other === node || !other.isUp) continue
            simulation.network.deliver(node.name, other.name) {
                if (other.isUp) other.handle(OwnerCommand.ApplyLeaderStatus(status))
            }
        }
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 300L
        const val RECONNECT_DELAY_MS = 150L
    }
}
