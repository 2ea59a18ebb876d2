package ledgearch.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel

/**
 * Serves HTTP/1.1 on one address with one coroutine per connection and at most [maxConnections] connections. When that
 * many are open, the longest idle one is closed for a new one; a connection whose last request satisfies [isLongLived]
 * is closed only after [minEvictionIdleMs] idle ms. If none can be closed, no connection is accepted, so that clients
 * wait in the kernel's short accept queue.
 */
internal class HttpServer(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val maxConnections: Int,
    private val isLongLived: (Request) -> Boolean = { false },
    private val minEvictionIdleMs: Long = 0,
    private val handler: suspend (Request) -> Response,
) {
    private val log = LoggerFactory.getLogger("ledgearch.http")
    private val connections = Connections(maxConnections, minEvictionIdleMs)

    val openCount get() = connections.openCount

    /** Binds to [address] at once, or throws [IOException] if it is in use, then accepts until cancelled. */
    fun start(address: String): Job {
        val server = listenOn(address, group)
        scope.launch { closeExpiredForever() }
        return scope.launch { acceptForever(server) }
    }

    private suspend fun closeExpiredForever() {
        while (true) {
            delay(HttpTuning.DEADLINE_CHECK_INTERVAL_MS)
            connections.closeExpired(SteadyTime.nowMs())
        }
    }

    private suspend fun acceptForever(server: AsynchronousServerSocketChannel) {
        while (true) {
            if (!connections.makeRoom(SteadyTime.nowMs())) {
                delay(HttpTuning.ACCEPT_RETRY_DELAY_MS)
                continue
            }
            val channel = server.acceptWithRetries(log)
            val connection = Connection(channel)
            connections.add(connection)
            scope.launch { serveAndClose(channel, connection) }
        }
    }

    private suspend fun serveAndClose(
        channel: AsynchronousSocketChannel,
        connection: Connection,
    ) {
        try {
            serve(channel, connection)
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            // The client disconnected or was too slow, or its connection was closed to make room. The client retries by
            // itself.
        } finally {
            connections.close(connection)
        }
    }

    private suspend fun serve(
        channel: AsynchronousSocketChannel,
        connection: Connection,
    ) {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        val requests = RequestReader(channel, connection, connections)
        while (true) {
            val request =
                try {
                    requests.next() ?: return
                } catch (e: MalformedMessageException) {
                    log.debug("malformed request: {}", e.message)
                    send(channel, Response(e.status, """{"error":"${e.message}"}"""), keepAlive = false)
                    return
                }
            connection.isLongLived = isLongLived(request)
            val response = handler(request)
            send(channel, response, request.keepAlive)
            if (!request.keepAlive) return
        }
    }

    private suspend fun send(
        channel: AsynchronousSocketChannel,
        response: Response,
        keepAlive: Boolean,
    ) {
        val bodyBytes = response.body.toByteArray()
        val headBytes = head(response, bodyBytes.size, keepAlive).toByteArray(Charsets.ISO_8859_1)
        val message =
            ByteBuffer
                .allocate(headBytes.size + bodyBytes.size)
                .put(headBytes)
                .put(bodyBytes)
                .flip()
        channel.writeAll(message, HttpTuning.WRITE_TIMEOUT_MS)
    }

    private fun head(
        response: Response,
        contentLength: Int,
        keepAlive: Boolean,
    ): String {
        val head =
            StringBuilder(HttpTuning.RESPONSE_HEAD_CHARS)
                .append("HTTP/1.1 ")
                .append(response.status)
                .append(' ')
                .append(HttpStatus.reason(response.status))
                .append("\r\n")
                .append("Content-Type: application/json\r\nContent-Length: ")
                .append(contentLength)
                .append("\r\n")
        response.retryAfterS?.let { head.append("Retry-After: ").append(it).append("\r\n") }
        if (!keepAlive) head.append("Connection: close\r\n")
        return head.append("\r\n").toString()
    }
}
