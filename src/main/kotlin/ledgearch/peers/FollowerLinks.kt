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
 * The leader's side of the connections between controllers: accepts followers and feeds each from a queue of its own.
 * [streams]: warm standby is on, so followers may ask for the decision stream.
 */
internal class FollowerLinks(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val events: MeshEvents,
    private val streams: Boolean,
) {
    private class Follower(
        val id: Long,
        val queue: Channel<ByteString>,
        val channel: AsynchronousSocketChannel,
    ) {
        /** Ends the feeding too, which removes the follower. */
        fun end() {
            queue.cancel()
            channel.closeQuietly()
        }
    }

    private val log = LoggerFactory.getLogger("ledgearch.peers")
    private val followers = HashMap<Long, Follower>()

    /** Connections that were ever accepted; the number of the last one is its follower's id. */
    var accepted = 0
        private set

    /** Accepts followers at [address] from now on. Throws when the address is taken. */
    fun listen(address: String) {
        val server = listenOn(address, group)
        scope.launch {
            while (true) {
                val channel = server.acceptWithRetries(log)
                if (followers.size >= PeerTuning.MAX_FOLLOWERS) {
                    channel.closeQuietly()
                } else {
                    scope.launch { feed(channel) }
                }
            }
        }
    }

    /** See [Mesh.stream]. */
    fun stream(
        id: Long,
        body: ByteString,
    ): Boolean {
        val follower = followers[id] ?: return false
        if (follower.queue.trySend(StreamFrames.encode(body)).isSuccess) return true
        follower.end()
        return false
    }

    /** See [Mesh.publish]. */
    fun publish(status: LeaderStatus) {
        if (followers.isEmpty()) return
        // Several frames where there are very many jobs, since the size of a frame is limited.
        for (part in status.progress.chunked(PeerTuning.JOBS_PER_FRAME).ifEmpty { listOf(emptyList()) }) {
            val frame = Frames.encode(LeaderStatus(part, status.served, status.zones))
            followers.values.forEach { it.queue.trySend(frame) }
        }
    }

    private suspend fun feed(channel: AsynchronousSocketChannel) {
        val queue = Channel<ByteString>(PeerTuning.FOLLOWER_QUEUE)
        val follower = Follower((++accepted).toLong(), queue, channel)
        followers[follower.id] = follower
        if (streams) scope.launch { awaitHello(follower) }
        try {
            for (frame in queue) channel.writeAll(ByteBuffer.wrap(frame.toByteArray()), HttpTuning.WRITE_TIMEOUT_MS)
        } catch (_: IOException) {
            // The follower went away.
        } finally {
            followers.remove(follower.id)
            channel.closeQuietly()
            if (streams) events.standby(StandbyEvent.FollowerLeft(follower.id))
        }
    }

    /** A follower of an earlier version, or without standby, never writes anything: it gets no stream. */
    private suspend fun awaitHello(follower: Follower) {
        val bytes = ByteBuffer.allocate(StreamFrames.hello.size)
        try {
            while (bytes.hasRemaining()) {
                if (follower.channel.readSome(bytes, NO_TIMEOUT) < 0) return follower.end()
            }
        } catch (_: IOException) {
            return follower.end()
        }
        if (bytes.array().toByteString() == StreamFrames.hello) {
            events.standby(StandbyEvent.FollowerJoined(follower.id))
        } else {
            log.warn("malformed stream request, connection closed; follower={}", follower.id)
            follower.end()
        }
    }

    private companion object {
        /** ms. A follower that never sends a hello is no fault: the read ends with the connection. */
        const val NO_TIMEOUT = 0L
    }
}
