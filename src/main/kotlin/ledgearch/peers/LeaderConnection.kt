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
 * The follower's side of the connections between controllers: keeps one connection to the leader, renews it whenever
 * it ends, and passes the received frames to [listener]. Requests the replication stream if [isStandbyEnabled].
 */
internal class LeaderConnection(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val listener: MeshListener,
    private val isStandbyEnabled: Boolean,
) {
    private val log = LoggerFactory.getLogger("ledgearch.peers")
    private var leaderAddress: String? = null
    private var connectionJob: Job? = null

    /** Implements [Mesh.follow]. */
    fun follow(address: String?) {
        if (address == leaderAddress) return
        leaderAddress = address
        connectionJob?.cancel()
        connectionJob = address?.let { scope.launch { keepConnected(it) } }
    }

    /** Implements [Mesh.reconnect]. */
    fun reconnect() {
        val address = leaderAddress ?: return
        connectionJob?.cancel()
        connectionJob =
            scope.launch {
                delay(PeerTuning.RECONNECT_DELAY_MS)
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
                    if (isStandbyEnabled) {
                        channel.writeAll(MeshFrameCodec.streamRequest.asByteBuffer(), HttpTuning.WRITE_TIMEOUT_MS)
                    }
                    receiveFrames(channel, address)
                }
            } catch (cancellation: CancellationException) {
                throw cancellation
            } catch (_: ConnectException) {
                if (++refusals == PeerTuning.REFUSALS_BEFORE_REPORT) listener.onConnectionRefused(address)
            } catch (_: IOException) {
                // The connection ended or was silent; the next attempt shows whether the leader's process has ended.
            } catch (malformed: MalformedFrameException) {
                log.warn(
                    "malformed frame from the leader, connection closed: {}; address={}",
                    malformed.message,
                    address,
                )
            } finally {
                channel.closeQuietly()
            }
            delay(PeerTuning.RECONNECT_DELAY_MS)
        }
    }

    /** Connects [channel] to [address]; returns false on a timeout. */
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

    /** Receives frames until the leader ends the connection. */
    private suspend fun receiveFrames(
        channel: AsynchronousSocketChannel,
        address: String,
    ) {
        val readBuffer = ByteBuffer.allocate(HttpTuning.READ_BUFFER_BYTES)
        val receivedBytes = Buffer()
        while (true) {
            readBuffer.clear()
            val count = channel.readSome(readBuffer, PeerTuning.MAX_LEADER_SILENCE_MS)
            if (count < 0) return
            receivedBytes.write(readBuffer.array(), 0, count)
            while (true) deliver(address, MeshFrameCodec.readOrNull(receivedBytes) ?: break)
        }
    }

    private suspend fun deliver(
        address: String,
        frame: MeshFrame,
    ) = when (frame) {
        is MeshFrame.Status -> {
            listener.onStatusReceived(frame.status)
        }

        is MeshFrame.Stream -> {
            if (!isStandbyEnabled) {
                throw MalformedFrameException("stream frame without a request for the replication stream")
            }
            listener.onStandbyEvent(StandbyEvent.FrameReceived(address, frame.frame))
        }
    }
}
