package ledgearch.standby

import ledgearch.peers.Mesh
import ledgearch.peers.StreamCodec
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/**
 * The leader's side of warm standby: streams the leader's state to the followers that requested it. The share of a
 * processor that this node may use, [processorShare] (0 to 1), limits the rate at which snapshots are sent.
 */
internal class StreamPublisher(
    private val mesh: Mesh,
    private val clock: Clock,
    processorShare: Double,
    private val stateReader: LeaderStateReader,
) {
    private val log = LoggerFactory.getLogger("ledgearch.standby")

    /** Steady-clock ms at which the current interval ends. */
    private var intervalEndsAtMs = 0L

    /** Whether the warning about a truncated state was logged in this term. */
    private var isTruncationLogged = false

    /** Log of the stream with the positions of the followers. */
    val streamLog = StreamLog(frameRecordsBytes(processorShare))

    /** Number of streams ended because the follower was too slow or gone. */
    var streamsDropped = 0L
        private set

    /** Bytes of the sent stream frames without their headers. */
    var bytesSent = 0L
        private set

    /** Begins a [term] of this node as leader. */
    fun beginTerm(term: Long) {
        streamLog.beginTerm(term)
        isTruncationLogged = false
    }

    /** Ends the term. */
    fun endTerm() = streamLog.endTerm()

    /** Starts the stream for a follower that requested it. */
    fun addFollower(followerId: Long) {
        streamLog.addFollower(followerId)
        log.info("replication stream requested; follower={}", followerId)
    }

    /** Ends the stream for a follower whose connection has ended. */
    fun removeFollower(followerId: Long) = streamLog.removeFollower(followerId)

    /** Sends the changes of the current interval if it has ended. To be called only while this node is the leader. */
    fun runDueWork() {
        if (clock.steadyMs < intervalEndsAtMs || !streamLog.hasFollowers) return
        intervalEndsAtMs = clock.steadyMs + StandbyTuning.STREAM_INTERVAL_MS
        streamLog.advance(stateReader.read())
        if (stateReader.isTruncated && !isTruncationLogged) {
            isTruncationLogged = true
            log.warn(
                "leader state exceeds {} bytes, the replication stream omits the records beyond; term={}",
                StandbyTuning.MAX_REPLICA_BYTES,
                streamLog.term,
            )
        }
        for (followerId in streamLog.followerIds.toList()) sendFrame(followerId)
    }

    private fun sendFrame(followerId: Long) {
        val frame = streamLog.nextFrame(followerId) ?: return
        val body = StreamCodec.encode(frame)
        if (mesh.sendStreamFrame(followerId, body)) {
            bytesSent += body.size
            return
        }
        streamsDropped++
        streamLog.removeFollower(followerId)
        log.warn("replication stream ended, follower too slow or gone; follower={}", followerId)
    }

    private companion object {
        /** Returns the size of the records in a frame, in proportion to [processorShare] within limits. */
        fun frameRecordsBytes(processorShare: Double) =
            (StandbyTuning.MAX_FRAME_RECORDS_BYTES * processorShare)
                .toInt()
                .coerceIn(StandbyTuning.MIN_FRAME_RECORDS_BYTES, StandbyTuning.MAX_FRAME_RECORDS_BYTES)
    }
}
