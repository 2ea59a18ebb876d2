package ledgearch.simulation

import ledgearch.control.OwnerCommand
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MalformedFrame
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.peers.StreamCodec
import okio.ByteString

/** One controller's connections to the others. Frames of the decision stream pass through their binary form. */
internal class SimulatedMesh(
    private val simulation: Simulation,
    private val node: Simulation.Node,
    private val isAlive: () -> Boolean,
) : Mesh {
    private var followed: String? = null

    /** Changes with every connection of this node to a leader: what an earlier one carries is lost with it. */
    private var connection = 0L
    override val joined = simulation.nodes.size

    override fun follow(address: String?) {
        if (followed == address) return
        followed = address
        connection = 0
        if (address == null) return
        look(address)
        connect(address)
    }

    /**
     * A dead process refuses connections, as does one without free sockets or that has not read the state service; one
     * that can't be reached is silent.
     */
    private fun look(address: String) {
        if (!isAlive() || followed != address) return
        val peer = peerAt(address)
        if ((!peer.isListening || peer.refusing) && !simulation.unreachable(node.name, peer.name)) {
            node.run(OwnerCommand.PeerRefused(address))
        }
        simulation.clock.after(LOOK_MS) { look(address) }
    }

    private fun peerAt(address: String) = simulation.nodes.first { it.name == address.substringBefore(':') }

    private fun connect(address: String) {
        if (!node.hasStandby) return
        val mine = simulation.streams.newConnection(node, ::receive)
        connection = mine
        simulation.clock.after(RECONNECT_MS) { sayHello(address, mine) }
    }

    /** Until the leader is up: it may not be yet, or be again after a restart. */
    private fun sayHello(
        address: String,
        mine: Long,
    ) {
        if (!isAlive() || connection != mine) return
        val peer = peerAt(address)
        if (peer.hasStandby && peer.up && !simulation.unreachable(node.name, peer.name)) {
            val instance = peer.instance
            peer.run(OwnerCommand.Standby(StandbyEvent.FollowerJoined(mine)))
            watchEnd(address, mine, instance)
        } else {
            simulation.clock.after(LOOK_MS) { sayHello(address, mine) }
        }
    }

    /** The leader's process may end, and with it the connection. */
    private fun watchEnd(
        address: String,
        mine: Long,
        instance: Int,
    ) {
        if (!isAlive() || connection != mine) {
            val peer = peerAt(address)
            if (peer.instance == instance && peer.up) peer.run(OwnerCommand.Standby(StandbyEvent.FollowerLeft(mine)))
            return
        }
        if (peerAt(address).instance != instance) return connect(address)
        simulation.clock.after(LOOK_MS) { watchEnd(address, mine, instance) }
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
            node.run(OwnerCommand.Standby(StandbyEvent.FrameReceived(address, StreamCodec.decode(body))))
        } catch (_: MalformedFrame) {
            simulation.streams.malformedClosed++
            reconnect()
        }
    }

    override fun stream(
        follower: Long,
        body: ByteString,
    ): Boolean = simulation.streams.send(simulation, node, follower, body)

    override fun publish(news: LeaderStatus) {
        for (other in simulation.nodes) {
            if (other === node || !other.up) continue
            simulation.deliver(node.name, other.name) { if (other.up) other.run(OwnerCommand.WatchEvent(news)) }
        }
    }

    private companion object {
        const val LOOK_MS = 300L
        const val RECONNECT_MS = 150L
    }
}
