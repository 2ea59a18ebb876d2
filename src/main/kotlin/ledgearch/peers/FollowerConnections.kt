package ledgearch.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import ledgearch.http.HttpTuning
import ledgearch.http.acceptWithRetries
import ledgearch.http.closeQuietly
import ledgearch.http.listenOn
import ledgearch.http.readSome
import ledgearch.http.writeAll
import okio.ByteString
import okio.ByteString.Companion.toByteString
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/**
 * The leader's side of the connections between controllers: accepts followers and sends frames to each from a queue of
 * its own. Followers can request the replication stream if [isStandbyEnabled].
 */
internal class FollowerConnections(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val listener: MeshListener,
    private val isStandbyEnabled: Boolean,
) {
    private class Follower(
        val id: Long,
        val queue: Channel<ByteString>,
        val channel: AsynchronousSocketChannel,
    ) {
        /** Closes the connection and ends [sendQueuedFrames], which removes the follower. */
        fun disconnect() {
            queue.cancel()
            channel.closeQuietly()
        }
    }

    private val log = LoggerFactory.getLogger("ledgearch.peers")
    private val followers = HashMap<Long, Follower>()

    /** Number of connections accepted so far, which is the id of the last follower. */
    var acceptedCount = 0
        private set

    /** Starts to accept followers at [address]. Throws an exception when the address is in use. */
    fun listen(address: String) {
        val server = listenOn(address, group)
        scope.launch {
            while (true) {
                val channel = server.acceptWithRetries(log)
                if (followers.size >= PeerTuning.MAX_FOLLOWERS) {
                    channel.closeQuietly()
                } else {
                    scope.launch { sendQueuedFrames(channel) }
                }
            }
        }
    }

    /** Implements [Mesh.sendStreamFrame]. */
    fun sendStreamFrame(
        followerId: Long,
        body: ByteString,
    ): Boolean {
        val follower = followers[followerId] ?: return false
        if (follower.queue.trySend(MeshFrameCodec.encodeStreamFrame(body)).isSuccess) return true
        follower.disconnect()
        return false
    }

    /** Implements [Mesh.publish]. */
    fun publish(status: LeaderStatus) {
        if (followers.isEmpty()) return
        // The size of a frame is limited, so the status takes several frames when there are very many jobs.
        for (progress in status.progress.chunked(PeerTuning.MAX_JOBS_PER_FRAME).ifEmpty { listOf(emptyList()) }) {
            val frame = StatusFrameCodec.encode(LeaderStatus(progress, status.isStateServiceReachable, status.zones))
            followers.values.forEach { it.queue.trySend(frame) }
        }
    }

    private suspend fun sendQueuedFrames(channel: AsynchronousSocketChannel) {
        val queue = Channel<ByteString>(PeerTuning.MAX_QUEUED_FRAMES)
        val follower = Follower((++acceptedCount).toLong(), queue, channel)
        followers[follower.id] = follower
        if (isStandbyEnabled) scope.launch { awaitStreamRequest(follower) }
        try {
            for (frame in queue) channel.writeAll(ByteBuffer.wrap(frame.toByteArray()), HttpTuning.WRITE_TIMEOUT_MS)
        } catch (_: IOException) {
            // The follower closed the connection or did not read in time.
        } finally {
            followers.remove(follower.id)
            channel.closeQuietly()
            if (isStandbyEnabled) listener.onStandbyEvent(StandbyEvent.FollowerLeft(follower.id))
        }
    }

    /** Waits for the stream request. A follower of an earlier version, or without standby, never sends one. */
    private suspend fun awaitStreamRequest(follower: Follower) {
        val request = ByteBuffer.allocate(MeshFrameCodec.streamRequest.size)
        try {
            while (request.hasRemaining()) {
                if (follower.channel.readSome(request, NO_TIMEOUT_MS) < 0) return follower.disconnect()
            }
        } catch (_: IOException) {
            return follower.disconnect()
        }
        if (request.array().toByteString() == MeshFrameCodec.streamRequest) {
            listener.onStandbyEvent(StandbyEvent.FollowerJoined(follower.id))
        } else {
            log.warn("malformed stream request, connection closed; follower={}", follower.id)
            follower.disconnect()
        }
    }

    private companion object {
        /** Sending no stream request is not a fault, so the read lasts until the connection ends. */
        const val NO_TIMEOUT_MS = 0L
    }
}
