package ledgearch.peers

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import ledgearch.http.HttpTuning
import ledgearch.http.closeQuietly
import ledgearch.http.connectTo
import ledgearch.http.parseAddress
import ledgearch.http.readSome
import ledgearch.http.writeAll
import okio.Buffer
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.ConnectException
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/**
 * The follower's side of the connections between controllers: keeps one connection to the leader, whenever it ends, and
 * passes on the frames that come. [streams]: warm standby is on, so this node asks for the decision stream.
 */
internal class LeaderLink(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val events: MeshEvents,
    private val streams: Boolean,
) {
    private val log = LoggerFactory.getLogger("ledgearch.peers")
    private var leaderAddress: String? = null
    private var link: Job? = null

    /** See [Mesh.follow]. */
    fun follow(address: String?) {
        if (address == leaderAddress) return
        leaderAddress = address
        link?.cancel()
        link = address?.let { scope.launch { keepConnected(it) } }
    }

    /** See [Mesh.reconnect]. */
    fun reconnect() {
        val address = leaderAddress ?: return
        link?.cancel()
        link =
            scope.launch {
                delay(PeerTuning.RECONNECT_MS)
                keepConnected(address)
            }
    }

    private suspend fun keepConnected(address: String) {
        var refusals = 0
        while (true) {
            val channel = AsynchronousSocketChannel.open(group)
            try {
                if (connect(channel, address)) {
                    refusals = 0
                    if (streams) channel.writeAll(StreamFrames.hello.asByteBuffer(), HttpTuning.WRITE_TIMEOUT_MS)
                    receiveFrames(channel, address)
                }
            } catch (cancellation: CancellationException) {
                throw cancellation
            } catch (_: ConnectException) {
                if (++refusals == PeerTuning.REFUSALS_UNTIL_ENDED) events.refused(address)
            } catch (_: IOException) {
                // Ended or silent; the next attempt to connect shows whether the process has ended.
            } catch (malformed: MalformedFrame) {
                log.warn(
                    "malformed frame from the leader, connection closed: {}; address={}",
                    malformed.message,
                    address,
                )
            } finally {
                channel.closeQuietly()
            }
            delay(PeerTuning.RECONNECT_MS)
        }
    }

    /** False when the connection was not made in time. */
    private suspend fun connect(
        channel: AsynchronousSocketChannel,
        address: String,
    ): Boolean {
        val connected =
            withTimeoutOrNull(HttpTuning.CONNECT_TIMEOUT_MS) {
                channel.connectTo(parseAddress(address))
                true
            }
        return connected != null
    }

    /** Returns when the leader ends the connection. */
    private suspend fun receiveFrames(
        channel: AsynchronousSocketChannel,
        address: String,
    ) {
        val chunk = ByteBuffer.allocate(HttpTuning.READ_BUFFER_BYTES)
        val received = Buffer()
        while (true) {
            chunk.clear()
            val count = channel.readSome(chunk, PeerTuning.LEADER_SILENCE_MS)
            if (count < 0) return
            received.write(chunk.array(), 0, count)
            while (true) deliver(address, StreamFrames.take(received) ?: break)
        }
    }

    private suspend fun deliver(
        address: String,
        frame: MeshFrame,
    ) = when (frame) {
        is MeshFrame.Status -> {
            events.statusReceived(frame.status)
        }

        is MeshFrame.Stream -> {
            if (!streams) throw MalformedFrame("a frame of the decision stream, which was not asked for")
            events.standby(StandbyEvent.FrameReceived(address, frame.frame))
        }
    }
}
