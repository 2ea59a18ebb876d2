package ledgearch.simulation

import ledgearch.peers.StreamCodec
import okio.ByteString
import okio.ByteString.Companion.toByteString

/** What goes wrong on decision streams: drawn for each frame while the fault lasts. */
internal class StreamFaults {
    enum class Kind { LOST, DUPLICATED, REORDERED, MALFORMED, OLD_TERM, FULL, NONSENSE, PLANTED }

    private class Fault(
        val kind: Kind,
        val share: Double,
        val until: Long,
    )

    private class Connection(
        val to: Simulation.Node,
        val receive: (Long, ByteString) -> Unit,
    )

    private val faults = ArrayList<Fault>()
    private val connections = HashMap<Long, Connection>()
    private var lastConnection = 0L
    private val kept = HashMap<String, ByteString>()

    /** Connections closed because of a malformed frame, and faults injected. */
    var malformedClosed = 0
    var injected = 0
        private set
    var bytes = 0L
        private set
    var frames = 0L
        private set

    /** Replicas no longer tell what leaders know. */
    val isNonsense: Boolean get() = faults.any { it.kind == Kind.NONSENSE }

    fun add(
        kind: Kind,
        share: Double,
        until: Long,
    ) {
        faults.add(Fault(kind, share, until))
    }

    fun newConnection(
        to: Simulation.Node,
        receive: (Long, ByteString) -> Unit,
    ): Long {
        connections[++lastConnection] = Connection(to, receive)
        return lastConnection
    }

    /** False: the follower's queue is full, and its connection is closed. */
    fun send(
        simulation: Simulation,
        from: Simulation.Node,
        follower: Long,
        body: ByteString,
    ): Boolean {
        val connection = connections[follower] ?: return false
        bytes += body.size
        frames++
        val fault =
            faults.firstOrNull { it.until > simulation.clock.now && simulation.random.nextDouble() < it.share }?.kind
        if (fault != null) injected++
        val deliver = { frame: ByteString, delayMs: Long ->
            simulation.clock.after(delayMs) {
                simulation.deliver(from.name, connection.to.name) { connection.receive(follower, frame) }
            }
        }
        when (fault) {
            null -> {
                deliver(body, 0)
            }

            Kind.LOST -> {
                Unit
            }

            Kind.DUPLICATED -> {
                repeat(2) { deliver(body, 0) }
            }

            Kind.REORDERED -> {
                deliver(body, REORDERED_MS)
            }

            Kind.MALFORMED -> {
                deliver(cutShort(body), 0)
            }

            Kind.NONSENSE -> {
                deliver(StreamNonsense(simulation, simulation.random).of(body), 0)
            }

            Kind.PLANTED -> {
                deliver(withoutLastRecord(body), 0)
            }

            Kind.OLD_TERM -> {
                deliver(kept[connection.to.name] ?: body, 0)
            }

            Kind.FULL -> {
                simulation.clock.after(FULL_MS) {
                    connections[follower]?.let { connection.receive(follower, ByteString.EMPTY) }
                }
            }
        }
        kept.putIfAbsent(connection.to.name, body)
        return fault != Kind.FULL
    }

    /** A planted defect: one record is left out, and nothing tells so. */
    private fun withoutLastRecord(body: ByteString): ByteString {
        val frame = StreamCodec.decode(body)
        return StreamCodec.encode(frame.copy(records = frame.records.dropLast(1)))
    }

    private fun cutShort(body: ByteString) = body.toByteArray().copyOf(body.size / 2).toByteString()

    private companion object {
        /** ms. Later than the frame after it. */
        const val REORDERED_MS = 1_500L

        /** ms. After so long the follower sees that its connection was closed. */
        const val FULL_MS = 200L
    }
}
