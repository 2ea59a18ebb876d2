package ledgearch.peers

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ledgearch.http.HttpTuning
import ledgearch.http.acceptPatiently
import ledgearch.http.closeQuietly
import ledgearch.http.connectTo
import ledgearch.http.listenOn
import ledgearch.http.parseAddress
import ledgearch.http.readSome
import ledgearch.http.writeAll
import okio.Buffer
import okio.ByteString
import okio.ByteString.Companion.toByteString
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.ConnectException
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/** What the links tell the owner. */
internal interface MeshEvents {
    suspend fun news(news: LeaderStatus)

    suspend fun standby(event: StandbyEvent)

    /** The connection to [address] ended and new ones are refused: most likely its process has ended. */
    suspend fun refused(address: String)
}

/** The connections between controllers: one from every other node to the leader, kept as long as it holds. */
internal class MeshLinks(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val events: MeshEvents,
    /** Warm standby is on: followers may ask for the decision stream, and this node asks for it. */
    private val streams: Boolean = false,
) : Mesh {
    private class Follower(
        val queue: Channel<ByteString>,
        val channel: AsynchronousSocketChannel,
    ) {
        /** Its feeding ends too, which forgets it. */
        fun end() {
            queue.cancel()
            channel.closeQuietly()
        }
    }

    private val log = LoggerFactory.getLogger("ledgearch.mesh")
    private val followers = HashMap<Long, Follower>()
    private var following: String? = null
    private var link: Job? = null
    override var joined = 0
        private set

    fun listen(address: String) {
        val server = listenOn(address, group)
        scope.launch {
            while (true) {
                val channel = server.acceptPatiently(log)
                if (followers.size >=
                    PeerTuning.MAX_FOLLOWERS
                ) {
                    channel.closeQuietly()
                } else {
                    scope.launch { feed(channel) }
                }
            }
        }
    }

    private suspend fun feed(channel: AsynchronousSocketChannel) {
        // Small: a follower that does not keep up is dropped, and comes back for the whole.
        val queue = Channel<ByteString>(PeerTuning.MESH_QUEUE)
        val follower = (++joined).toLong()
        val connection = Follower(queue, channel)
        followers[follower] = connection
        if (streams) scope.launch { awaitHello(connection, follower) }
        try {
            for (frame in queue) channel.writeAll(ByteBuffer.wrap(frame.toByteArray()), HttpTuning.WRITE_MS)
        } catch (_: IOException) {
            // The follower went away.
        } finally {
            followers.remove(follower)
            channel.closeQuietly()
            if (streams) events.standby(StandbyEvent.FollowerLeft(follower))
        }
    }

    /** An earlier version, or a node without standby, never writes anything: it is sent no stream. */
    private suspend fun awaitHello(
        connection: Follower,
        follower: Long,
    ) {
        val bytes = ByteBuffer.allocate(StreamFrames.hello.size)
        try {
            while (bytes.hasRemaining()) {
                if (connection.channel.readSome(bytes, NO_TIMEOUT) < 0) return connection.end()
            }
        } catch (_: IOException) {
            return connection.end()
        }
        if (bytes.array().toByteString() == StreamFrames.hello) {
            events.standby(StandbyEvent.FollowerJoined(follower))
        } else {
            log.warn("follower {} said something else than a hello; its connection is closed", follower)
            connection.end()
        }
    }

    override fun stream(
        follower: Long,
        body: ByteString,
    ): Boolean {
        val connection = followers[follower] ?: return false
        if (connection.queue.trySend(StreamFrames.encode(body)).isSuccess) return true
        connection.end()
        return false
    }

    override fun reconnect() {
        val address = following ?: return
        link?.cancel()
        link =
            scope.launch {
                delay(PeerTuning.MESH_RETRY_MS)
                keep(address)
            }
    }

    override fun publish(news: LeaderStatus) {
        if (followers.isEmpty()) return
        // Several frames where there are very many jobs: a frame has a size that it may not pass.
        for (part in news.progress.chunked(PeerTuning.JOBS_A_FRAME).ifEmpty { listOf(emptyList()) }) {
            val frame = Frames.encode(LeaderStatus(part, news.served, news.zones))
            followers.values.forEach { it.queue.trySend(frame) }
        }
    }

    override fun follow(address: String?) {
        if (address == following) return
        following = address
        link?.cancel()
        link = address?.let { scope.launch { keep(it) } }
    }

    private suspend fun keep(address: String) {
        var refusals = 0
        while (true) {
            val channel = AsynchronousSocketChannel.open(group)
            try {
                val connected =
                    withTimeoutOrNull(HttpTuning.CONNECT_MS) {
                        channel.connectTo(parseAddress(address))
                        true
                    }
                if (connected != null) {
                    refusals = 0
                    if (streams) channel.writeAll(StreamFrames.hello.asByteBuffer(), HttpTuning.WRITE_MS)
                    read(channel, address)
                }
            } catch (e: CancellationException) {
                throw e
            } catch (_: ConnectException) {
                if (++refusals == PeerTuning.REFUSALS) events.refused(address)
            } catch (_: IOException) {
                // Ended or silent; the next connection tells more.
            } catch (e: MalformedFrame) {
                log.warn("{} sent {}", address, e.message)
            } finally {
                channel.closeQuietly()
            }
            delay(PeerTuning.MESH_RETRY_MS)
        }
    }

    private suspend fun read(
        channel: AsynchronousSocketChannel,
        address: String,
    ) {
        val bytes = ByteBuffer.allocate(HttpTuning.READ_BUFFER)
        val buffer = Buffer()
        while (true) {
            bytes.clear()
            val n = channel.readSome(bytes, PeerTuning.MESH_SILENT_MS)
            if (n < 0) return
            buffer.write(bytes.array(), 0, n)
            while (true) tell(address, StreamFrames.take(buffer) ?: break)
        }
    }

    private suspend fun tell(
        address: String,
        frame: MeshFrame,
    ) = when (frame) {
        is MeshFrame.Status -> {
            events.news(frame.status)
        }

        is MeshFrame.Stream -> {
            if (!streams) throw MalformedFrame("a frame of the decision stream, which was not asked for")
            events.standby(StandbyEvent.FrameReceived(address, frame.frame))
        }
    }

    private companion object {
        /** ms. A follower that never says hello is no fault: the reading ends with the connection. */
        const val NO_TIMEOUT = 0L
    }
}
