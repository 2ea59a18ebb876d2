package ledgearch.simulation.faults

import ledgearch.peers.StreamCodec
import ledgearch.simulation.SimulatedNode
import ledgearch.simulation.Simulation
import okio.ByteString
import okio.ByteString.Companion.toByteString

/** Injects random faults into the frames of replication streams, and holds the connections of the streams. */
internal class StreamFaults {
    /** The kinds of faults of a frame. */
    enum class Kind {
        LOST,
        DUPLICATED,

        /** The frame arrives after the next one. */
        REORDERED,

        /** The frame is truncated. */
        MALFORMED,

        /** The frame is replaced by the first frame ever sent to the follower. */
        OLD_TERM,

        /** The follower's queue is full, and its connection is closed. */
        FULL,

        /** The frame is well formed, but its records are random. */
        CORRUPTED,

        /** A planted defect: the last record is omitted without any sign of it. */
        PLANTED,
    }

    private class Fault(
        val kind: Kind,
        val share: Double,
        val untilMs: Long,
    )

    private class Connection(
        val to: SimulatedNode,
        val receive: (Long, ByteString) -> Unit,
    )

    private val faults = ArrayList<Fault>()
    private val connections = HashMap<Long, Connection>()
    private var lastConnectionId = 0L
    private val firstFrames = HashMap<String, ByteString>()

    /** Number of connections closed because of a malformed frame. */
    var malformedFrameCount = 0

    /** Number of faults injected. */
    var injectedCount = 0
        private set

    /** Number of bytes sent. */
    var sentBytes = 0L
        private set

    /** Whether frames are corrupted, so that replicas need not equal the leader's state. */
    val hasCorruptedFrames: Boolean get() = faults.any { it.kind == Kind.CORRUPTED }

    fun add(
        kind: Kind,
        share: Double,
        untilMs: Long,
    ) {
        faults.add(Fault(kind, share, untilMs))
    }

    fun openConnection(
        to: SimulatedNode,
        receive: (Long, ByteString) -> Unit,
    ): Long {
        connections[++lastConnectionId] = Connection(to, receive)
        return lastConnectionId
    }

    /** Sends a frame to a follower. Returns false if the follower's queue is full and its connection is closed. */
    fun send(
        simulation: Simulation,
        from: SimulatedNode,
        follower: Long,
        body: ByteString,
    ): Boolean {
        val connection = connections[follower] ?: return false
        sentBytes += body.size
        val fault = drawFault(simulation)
        val delayMs = if (fault == Kind.REORDERED) REORDER_DELAY_MS else 0L
        for (frame in framesFor(body, fault, connection, simulation)) {
            simulation.clock.after(delayMs) {
                simulation.network.deliver(from.name, connection.to.name) { connection.receive(follower, frame) }
            }
        }
        if (fault == Kind.FULL) {
            simulation.clock.after(CLOSE_DELAY_MS) { connection.receive(follower, ByteString.EMPTY) }
        }
        firstFrames.putIfAbsent(connection.to.name, body)
        return fault != Kind.FULL
    }

    private fun drawFault(simulation: Simulation): Kind? {
        val fault =
            faults.firstOrNull { it.untilMs > simulation.clock.nowMs && simulation.random.nextDouble() < it.share }
        if (fault != null) injectedCount++
        return fault?.kind
    }

    private fun framesFor(
        body: ByteString,
        fault: Kind?,
        connection: Connection,
        simulation: Simulation,
    ): List<ByteString> =
        when (fault) {
            null, Kind.REORDERED -> listOf(body)
            Kind.LOST, Kind.FULL -> emptyList()
            Kind.DUPLICATED -> listOf(body, body)
            Kind.MALFORMED -> listOf(truncate(body))
            Kind.CORRUPTED -> listOf(FrameCorrupter(simulation, simulation.random).corrupt(body))
            Kind.PLANTED -> listOf(withoutLastRecord(body))
            Kind.OLD_TERM -> listOf(firstFrames[connection.to.name] ?: body)
        }

    private fun withoutLastRecord(body: ByteString): ByteString {
        val frame = StreamCodec.decode(body)
        return StreamCodec.encode(frame.copy(records = frame.records.dropLast(1)))
    }

    private fun truncate(body: ByteString) = body.toByteArray().copyOf(body.size / 2).toByteString()

    private companion object {
        /** Long enough to arrive after the next frame. */
        const val REORDER_DELAY_MS = 1_500L

        /** Time after which the follower detects that its connection was closed. */
        const val CLOSE_DELAY_MS = 200L
    }
}
