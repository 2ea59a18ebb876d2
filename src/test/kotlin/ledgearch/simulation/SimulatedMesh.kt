package ledgearch.simulation

import ledgearch.control.OwnerCommand
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MalformedFrameException
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.peers.StreamCodec
import okio.ByteString

/** One controller's connections to the others. Frames of the decision stream pass through their binary form. */
internal class SimulatedMesh(
    private val simulation: Simulation,
    private val node: SimulatedNode,
    private val isAlive: () -> Boolean,
) : Mesh {
    private var followed: String? = null

    /** Changes with every connection of this node to a leader: what an earlier one carries is lost with it. */
    private var connection = 0L
    override val acceptedFollowerCount = simulation.nodes.size

    override fun follow(address: String?) {
        if (followed == address) return
        followed = address
        connection = 0
        if (address == null) return
        checkPeer(address)
        connect(address)
    }

    /**
     * A dead process refuses connections, as does one without free sockets or that has not read the state service; one
     * that can't be reached is silent.
     */
    private fun checkPeer(address: String) {
        if (!isAlive() || followed != address) return
        val peer = peerAt(address)
        if ((!peer.isListening || peer.isRefusing) && !simulation.network.isUnreachable(node.name, peer.name)) {
            node.run(OwnerCommand.HandlePeerRefusal(address))
        }
        simulation.clock.after(CHECK_MS) { checkPeer(address) }
    }

    private fun peerAt(address: String) = simulation.nodes.first { it.name == address.substringBefore(':') }

    private fun connect(address: String) {
        if (!node.hasStandby) return
        val opened = simulation.streams.newConnection(node, ::receive)
        connection = opened
        simulation.clock.after(RECONNECT_MS) { sayHello(address, opened) }
    }

    /** Until the leader is up: it may not be yet, or be again after a restart. */
    private fun sayHello(
        address: String,
        opened: Long,
    ) {
        if (!isAlive() || connection != opened) return
        val peer = peerAt(address)
        if (peer.hasStandby && peer.up && !simulation.network.isUnreachable(node.name, peer.name)) {
            val instance = peer.instance
            peer.run(OwnerCommand.HandleStandbyEvent(StandbyEvent.FollowerJoined(opened)))
            watchEnd(address, opened, instance)
        } else {
            simulation.clock.after(CHECK_MS) { sayHello(address, opened) }
        }
    }

    /** The leader's process may end, and with it the connection. */
    private fun watchEnd(
        address: String,
        opened: Long,
        instance: Int,
    ) {
        if (!isAlive() || connection != opened) {
            val peer = peerAt(address)
            if (peer.instance == instance && peer.up) {
                peer.run(OwnerCommand.HandleStandbyEvent(StandbyEvent.FollowerLeft(opened)))
            }
            return
        }
        if (peerAt(address).instance != instance) return connect(address)
        simulation.clock.after(CHECK_MS) { watchEnd(address, opened, instance) }
    }

    override fun reconnect() {
        connection = 0
        followed?.let(::connect)
    }

    private fun receive(
        connection: Long,
        body: ByteString,
    ) {
        val address = followed
        if (!isAlive() || connection != this.connection || address == null) return
        try {
            node.run(OwnerCommand.HandleStandbyEvent(StandbyEvent.FrameReceived(address, StreamCodec.decode(body))))
        } catch (_: MalformedFrameException) {
            simulation.streams.malformedClosed++
            reconnect()
        }
    }

    override fun sendStreamFrame(
        followerId: Long,
        body: ByteString,
    ): Boolean = simulation.streams.send(simulation, node, followerId, body)

    override fun publish(status: LeaderStatus) {
        for (other in simulation.nodes) {
            if (other === node || !other.up) continue
            simulation.network.deliver(
                node.name,
                other.name,
            ) { if (other.up) other.run(OwnerCommand.ApplyLeaderStatus(status)) }
        }
    }

    private companion object {
        const val CHECK_MS = 300L
        const val RECONNECT_MS = 150L
    }
}
