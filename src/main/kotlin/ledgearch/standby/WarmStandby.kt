package ledgearch.standby

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.election.ElectionTuning
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.peers.StreamCodec
import ledgearch.records.LeadershipRecord
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** How far a standby is behind, or what a leader streams, as `GET /metrics` shows it. */
@Serializable
internal data class StandbyReport(
    val role: String,
    val term: Long,
    val sequence: Long,
    @SerialName("records_held") val recordsHeld: Int,
    @SerialName("records_behind") val recordsBehind: Int,
    /** -1: no replica is held. */
    @SerialName("ms_behind") val msBehind: Long,
    val followers: Int,
    @SerialName("snapshots_sent") val snapshotsSent: Long,
    @SerialName("streams_dropped") val streamsDropped: Long,
    @SerialName("replicas_dropped") val replicasDropped: Long,
    @SerialName("bytes_sent") val bytesSent: Long,
    @SerialName("changes_sent") val changesSent: Long,
) {
    companion object {
        const val LEADER = "leader"
        const val FOLLOWER = "follower"
    }
}

/**
 * Warm standby: on the leader it streams the state to followers that asked for it, elsewhere it keeps a replica. Run by
 * the owner alone.
 */
internal class WarmStandby(
    node: String,
    private val mesh: Mesh,
    private val clock: Clock,
    processorShare: Double,
    private val image: LeaderSnapshot,
) {
    private val log = LoggerFactory.getLogger("ledgearch.standby")
    private var streamAt = 0L
    private var streamsDropped = 0L
    private var replicasDropped = 0L
    private var bytesSent = 0L
    private var cutShortLogged = false

    /** Steady ms of the last frame that left the replica equal to the leader's state. */
    private var currentAt = Long.MIN_VALUE
    private val replaced = PreviousTerm(node)

    val streamLog = StreamLog(frameBytes(processorShare))
    val replica = Replica(StandbyTuning.REPLICA_BYTES)

    /** This node leads under a new term. Returns what its replica suggests, or null when there is no fitting one. */
    fun begin(term: Long): FailoverHints? {
        streamLog.begin(term)
        cutShortLogged = false
        val usable = replica.term != 0L && replaced.mayBe(replica.term)
        val hints = if (usable) FailoverHints(replica.records.values) else null
        log.info(
            "take-over under term {}: {} machines in the replica of term {}, {} records and {} ms behind",
            term,
            hints?.machineCount ?: 0,
            replica.term,
            replica.remaining,
            msBehind(),
        )
        replica.clear()
        return hints
    }

    /** This node leads no more. */
    fun end() = streamLog.end()

    fun leadershipChanged(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ) {
        if (!replaced.changed(leadership, modRevision)) return
        // The replica is of the leader before: a later stream begins with a snapshot of its own.
        if (replica.term != 0L && !replaced.mayBe(replica.term)) replica.clear()
    }

    fun handle(
        event: StandbyEvent,
        leaderAddress: String?,
    ) {
        when (event) {
            is StandbyEvent.FollowerJoined -> {
                streamLog.join(event.follower)
                log.info("follower {} asks for the decision stream", event.follower)
            }

            is StandbyEvent.FollowerLeft -> {
                streamLog.leave(event.follower)
            }

            is StandbyEvent.FrameReceived -> {
                if (event.address == leaderAddress) receive(event)
            }
        }
    }

    private fun receive(event: StandbyEvent.FrameReceived) {
        if (!replaced.mayBe(event.frame.term)) return
        val hadSnapshot = replica.hasSnapshot
        when (val result = replica.apply(event.frame)) {
            ApplyResult.Applied -> {
                if (replica.isCurrent) currentAt = clock.steadyMs
                if (replica.hasSnapshot && !hadSnapshot) {
                    log.info("replica of term {} holds {} records", replica.term, replica.records.size)
                }
            }

            is ApplyResult.Rejected -> {
                replicasDropped++
                log.warn("replica dropped, a new snapshot is asked for: {}", result.reason)
                mesh.reconnect()
            }
        }
    }

    /** Streams the changes since the last interval; [leading]: this node holds the grant and has read the records. */
    fun drive(leading: Boolean) {
        if (!leading || clock.steadyMs < streamAt || !streamLog.isFollowed) return
        streamAt = clock.steadyMs + StandbyTuning.STREAM_MS
        streamLog.advance(image.read())
        if (image.isCutShort && !cutShortLogged) {
            cutShortLogged = true
            log.warn("the state exceeds {} bytes; the stream carries a part of it", StandbyTuning.REPLICA_BYTES)
        }
        for (follower in streamLog.followers.toList()) send(follower)
    }

    private fun send(follower: Long) {
        val frame = streamLog.nextFrame(follower) ?: return
        val body = StreamCodec.encode(frame)
        if (mesh.stream(follower, body)) {
            bytesSent += body.size
            return
        }
        streamsDropped++
        streamLog.leave(follower)
        log.warn("follower {} is too slow for the decision stream; its connection is closed", follower)
    }

    /**
     * ms that this node waits before it claims a free grant; up to [ElectionTuning.ELECTION_SPREAD_MS], as without
     * standby.
     */
    fun headStartMs(): Long {
        val behind = msBehind()
        if (behind < 0) return ElectionTuning.HEAD_START_MS
        return ElectionTuning.HEAD_START_MS * minOf(behind, StandbyTuning.HEAD_START_LAG_MS) /
            StandbyTuning.HEAD_START_LAG_MS
    }

    /** ms since the replica was last equal to the leader's state, or -1 when none is held. */
    private fun msBehind(): Long = if (replica.hasSnapshot) clock.steadyMs - currentAt else -1

    fun report(leading: Boolean) =
        StandbyReport(
            if (leading) StandbyReport.LEADER else StandbyReport.FOLLOWER,
            if (leading) streamLog.term else replica.term,
            if (leading) streamLog.sequence else replica.sequence,
            if (leading) streamLog.records.size else replica.records.size,
            if (leading) streamLog.longestBacklog else replica.remaining,
            if (leading) 0 else msBehind(),
            streamLog.followers.size,
            streamLog.snapshotsSent,
            streamsDropped,
            replicasDropped,
            bytesSent,
            streamLog.changes,
        )

    private companion object {
        /** A snapshot is paced by the share of the processor that the leader may use. */
        fun frameBytes(processorShare: Double) =
            (StandbyTuning.STREAM_FRAME_BYTES * processorShare)
                .toInt()
                .coerceIn(StandbyTuning.STREAM_FRAME_LEAST, StandbyTuning.STREAM_FRAME_BYTES)
    }
}
