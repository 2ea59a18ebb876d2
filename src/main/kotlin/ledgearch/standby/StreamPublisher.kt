package ledgearch.standby

import ledgearch.peers.Mesh
import ledgearch.peers.StreamCodec
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * The leader's side of warm standby: streams the state to the followers that asked for it. [processorShare]: the share
 * of a processor that this node may use (0 to 1), by which a snapshot is paced.
 */
internal class StreamPublisher(
    private val mesh: Mesh,
    private val clock: Clock,
    processorShare: Double,
    private val snapshot: LeaderSnapshot,
) {
    private val log = LoggerFactory.getLogger("ledgearch.standby")

    /** Steady ms at which the next interval ends. */
    private var nextIntervalAt = 0L

    /** The warning that the state is truncated was logged in this term. */
    private var truncationLogged = false

    /** The log of the stream, with how far each follower has been sent it. */
    val streamLog = StreamLog(frameBytes(processorShare))

    /** Streams ended since their follower did not keep up or was gone. */
    var streamsDropped = 0L
        private set

    /** Bytes of stream frames sent, without their headers. */
    var bytesSent = 0L
        private set

    /** This node leads under the new [term]. */
    fun begin(term: Long) {
        streamLog.begin(term)
        truncationLogged = false
    }

    /** This node leads no more. */
    fun end() = streamLog.end()

    /** The connection [follower] asks for the stream. */
    fun join(follower: Long) {
        streamLog.join(follower)
        log.info("decision stream requested; follower={}", follower)
    }

    /** The connection [follower] has ended. */
    fun leave(follower: Long) = streamLog.leave(follower)

    /** Streams the changes since the last interval if one is over. To be called only while this node leads. */
    fun runDueWork() {
        if (clock.steadyMs < nextIntervalAt || !streamLog.isFollowed) return
        nextIntervalAt = clock.steadyMs + StandbyTuning.STREAM_INTERVAL_MS
        streamLog.advance(snapshot.read())
        if (snapshot.isTruncated && !truncationLogged) {
            truncationLogged = true
            log.warn(
                "leader state exceeds {} bytes, the decision stream carries a part of it; term={}",
                StandbyTuning.REPLICA_BYTES,
                streamLog.term,
            )
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
        log.warn("backpressure on the decision stream, connection closed; follower={}", follower)
    }

    private companion object {
        /** A snapshot is paced by the share of the processor that the leader may use. */
        fun frameBytes(processorShare: Double) =
            (StandbyTuning.STREAM_FRAME_BYTES * processorShare)
                .toInt()
                .coerceIn(StandbyTuning.STREAM_FRAME_LEAST, StandbyTuning.STREAM_FRAME_BYTES)
    }
}
