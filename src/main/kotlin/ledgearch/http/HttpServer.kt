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
 * Serves HTTP/1.1 on one address: one coroutine a connection, at most [maxConnections] of them. With that many open,
 * the one unused longest is closed for the next; those whose last request [isKept] only once unused for [staleMs].
 * Where none can be closed no further one is accepted, so the kernel's small queue holds callers back.
 */
internal class HttpServer(
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val maxConnections: Int,
    private val isKept: (Request) -> Boolean = { false },
    private val staleMs: Long = 0,
    private val handler: suspend (Request) -> Response,
) {
    private val log = LoggerFactory.getLogger("ledgearch.http")
    private val connections = Connections(maxConnections, staleMs)

    /** Connections open now. */
    val open get() = connections.open

    /** Binds at once (throws [IOException] when the address is taken), then accepts until cancelled. */
    fun start(address: String): Job {
        val server = listenOn(address, group)
        scope.launch { closeLateForever() }
        return scope.launch { acceptForever(server) }
    }

    private suspend fun closeLateForever() {
        while (true) {
            delay(HttpTuning.LATE_CALLERS_MS)
            connections.closeLate(SteadyTime.nowMs())
        }
    }

    private suspend fun acceptForever(server: AsynchronousServerSocketChannel) {
        while (true) {
            if (!connections.makeRoom(SteadyTime.nowMs())) {
                delay(HttpTuning.ACCEPT_RETRY_MS)
                continue
            }
            val channel = server.acceptPatiently(log)
            val connection = Connection(channel)
            connections.opened(connection)
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
            // The caller went away or was too slow, or its place was needed; it will come back by itself.
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
                } catch (e: BadMessage) {
                    log.debug("bad request: {}", e.message)
                    send(channel, Response(e.status, """{"error":"${e.message}"}"""), keepAlive = false)
                    return
                }
            connection.isKept = isKept(request)
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
        channel.writeAll(message, HttpTuning.WRITE_MS)
    }

    private fun head(
        response: Response,
        contentLength: Int,
        keepAlive: Boolean,
    ): String {
        val head =
            StringBuilder(HttpTuning.RESPONSE_HEAD)
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
