package ledgearch.simulation.faults

import ledgearch.peers.StreamCodec
import ledgearch.simulation.SimulatedNode
import ledgearch.simulation.Simulation
import okio.ByteString
import okio.ByteString.Companion.toByteString

/** Faults of decision streams, drawn for each frame while the fault lasts, and the connections of the streams. */
internal class StreamFaults {
    /** What happens to a frame. */
    enum class Kind {
        LOST,
        DUPLICATED,

        /** It arrives after the next one. */
        REORDERED,

        /** It is cut short. */
        MALFORMED,

        /** In its place comes the first frame that the follower was ever sent. */
        OLD_TERM,

        /** The follower's queue is full, and its connection is closed. */
        FULL,

        /** It is well formed, and its records are random. */
        CORRUPTED,

        /** A defect of the stream: a record is left out, and nothing tells so. */
        PLANTED,
    }

    private class Fault(
        val kind: Kind,
        val share: Double,
        val until: Long,
    )

    private class Connection(
        val to: SimulatedNode,
        val receive: (Long, ByteString) -> Unit,
    )

    private val faults = ArrayList<Fault>()
    private val connections = HashMap<Long, Connection>()
    private var lastConnection = 0L
    private val firstFrames = HashMap<String, ByteString>()

    /** Connections closed because of a malformed frame. */
    var malformedClosed = 0

    /** Faults injected so far. */
    var injected = 0
        private set

    /** Bytes sent so far. */
    var bytes = 0L
        private set

    /** Frames are corrupted, so replicas need not equal their leaders. */
    val isCorrupted: Boolean get() = faults.any { it.kind == Kind.CORRUPTED }

    fun add(
        kind: Kind,
        share: Double,
        until: Long,
    ) {
        faults.add(Fault(kind, share, until))
    }

    fun newConnection(
        to: SimulatedNode,
        receive: (Long, ByteString) -> Unit,
    ): Long {
        connections[++lastConnection] = Connection(to, receive)
        return lastConnection
    }

    /** False: the follower's queue is full, and its connection is closed. */
    fun send(
        simulation: Simulation,
        from: SimulatedNode,
        follower: Long,
        body: ByteString,
    ): Boolean {
        val connection = connections[follower] ?: return false
        bytes += body.size
        val fault = drawFault(simulation)
        val delayMs = if (fault == Kind.REORDERED) REORDERED_MS else 0L
        for (frame in framesInPlaceOf(body, fault, connection, simulation)) {
            simulation.clock.after(delayMs) {
                simulation.network.deliver(from.name, connection.to.name) { connection.receive(follower, frame) }
            }
        }
        if (fault == Kind.FULL) simulation.clock.after(FULL_MS) { connection.receive(follower, ByteString.EMPTY) }
        firstFrames.putIfAbsent(connection.to.name, body)
        return fault != Kind.FULL
    }

    private fun drawFault(simulation: Simulation): Kind? {
        val drawn = faults.firstOrNull { it.until > simulation.clock.now && simulation.random.nextDouble() < it.share }
        if (drawn != null) injected++
        return drawn?.kind
    }

    private fun framesInPlaceOf(
        body: ByteString,
        fault: Kind?,
        connection: Connection,
        simulation: Simulation,
    ): List<ByteString> =
        when (fault) {
            null, Kind.REORDERED -> listOf(body)
            Kind.LOST, Kind.FULL -> emptyList()
            Kind.DUPLICATED -> listOf(body, body)
            Kind.MALFORMED -> listOf(cutShort(body))
            Kind.CORRUPTED -> listOf(CorruptedStreams(simulation, simulation.random).of(body))
            Kind.PLANTED -> listOf(withoutLastRecord(body))
            Kind.OLD_TERM -> listOf(firstFrames[connection.to.name] ?: body)
        }

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
