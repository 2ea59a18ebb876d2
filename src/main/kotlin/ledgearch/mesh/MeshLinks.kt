package ledgearch.mesh

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ledgearch.Tuning
import ledgearch.http.acceptPatiently
import ledgearch.http.closeQuietly
import ledgearch.http.connectTo
import ledgearch.http.listenOn
import ledgearch.http.parseAddress
import ledgearch.http.readSome
import ledgearch.http.writeAll
import okio.Buffer
import okio.ByteString
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.ConnectException
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/** What the links tell the owner. */
internal interface MeshEvents {
    suspend fun news(news: LeaderStatus)

    /** The connection to [address] ended and new ones are refused: most likely its process has ended. */
    suspend fun refused(address: String)
}

/** The connections between controllers: one from every other node to the leader, kept as long as it holds. */
internal class MeshLinks(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val events: MeshEvents,
) : Mesh {
    private val log = LoggerFactory.getLogger("ledgearch.mesh")
    private val followers = HashSet<Channel<ByteString>>()
    private var following: String? = null
    private var link: Job? = null
    override var joined = 0
        private set

    fun listen(address: String) {
        val server = listenOn(address, group)
        scope.launch {
            while (true) {
                val channel = server.acceptPatiently(log)
                if (followers.size >= Tuning.MAX_FOLLOWERS) channel.closeQuietly() else scope.launch { feed(channel) }
            }
        }
    }

    private suspend fun feed(channel: AsynchronousSocketChannel) {
        // Small: a follower that does not keep up is dropped, and comes back for the whole.
        val queue = Channel<ByteString>(Tuning.MESH_QUEUE)
        followers.add(queue)
        joined++
        try {
            while (true) {
                channel.writeAll(ByteBuffer.wrap(queue.receive().toByteArray()), Tuning.WRITE_MS)
            }
        } catch (_: IOException) {
            // The follower went away.
        } finally {
            followers.remove(queue)
            channel.closeQuietly()
        }
    }

    override fun publish(news: LeaderStatus) {
        if (followers.isEmpty()) return
        val frame = Frames.encode(news)
        followers.forEach { it.trySend(frame) }
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
                    withTimeoutOrNull(Tuning.CONNECT_MS) {
                        channel.connectTo(parseAddress(address))
                        true
                    }
                if (connected != null) {
                    refusals = 0
                    read(channel)
                }
            } catch (e: CancellationException) {
                throw e
            } catch (_: ConnectException) {
                if (++refusals == Tuning.REFUSALS) events.refused(address)
            } catch (_: IOException) {
                // Ended or silent; the next connection tells more.
            } catch (e: MalformedFrame) {
                log.warn("{} sent {}", address, e.message)
            } finally {
                channel.closeQuietly()
            }
            delay(Tuning.MESH_RETRY_MS)
        }
    }

    private suspend fun read(channel: AsynchronousSocketChannel) {
        val bytes = ByteBuffer.allocate(Tuning.READ_BUFFER)
        val buffer = Buffer()
        while (true) {
            bytes.clear()
            val n = channel.readSome(bytes, Tuning.MESH_SILENT_MS)
            if (n < 0) return
            buffer.write(bytes.array(), 0, n)
            while (true) events.news(Frames.take(buffer) ?: break)
        }
    }
}
