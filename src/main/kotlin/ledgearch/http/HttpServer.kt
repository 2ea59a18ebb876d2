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

    /** Binds at once (throws when the address is taken), then accepts until cancelled. */
    fun start(address: String): Job {
        val server = listenOn(address, group)
        scope.launch {
            while (true) {
                delay(HttpTuning.LATE_CALLERS_MS)
                connections.closeLate(nowMs())
            }
        }
        return scope.launch {
            while (true) {
                if (!connections.makeRoom(nowMs())) {
                    delay(HttpTuning.ACCEPT_RETRY_MS)
                    continue
                }
                val channel = server.acceptPatiently(log)
                val connection = Connection(channel)
                connections.opened(connection)
                scope.launch {
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
            }
        }
    }

    private fun nowMs() = System.nanoTime() / 1_000_000

    private suspend fun serve(
        channel: AsynchronousSocketChannel,
        connection: Connection,
    ) {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        val reader = MessageReader(HttpTuning.MAX_BODY)
        val buffer = ByteBuffer.allocate(HttpTuning.READ_BUFFER)
        while (true) {
            val request =
                try {
                    nextRequest(channel, connection, reader, buffer) ?: return
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

    private suspend fun nextRequest(
        channel: AsynchronousSocketChannel,
        connection: Connection,
        reader: MessageReader,
        buffer: ByteBuffer,
    ): Request? {
        var isBegun = !reader.isEmpty
        connection.deadline = nowMs() + if (isBegun) HttpTuning.SLOW_REQUEST_MS else HttpTuning.IDLE_MS
        if (!isBegun) connections.unused(connection, nowMs())
        while (true) {
            val head = reader.head()
            val body = if (head != null) reader.body() else null
            if (head != null && body != null) {
                val parts = head.startLine.split(' ')
                if (parts.size != 3 || !parts[2].startsWith("HTTP/1.") ||
                    !parts[1].startsWith("/")
                ) {
                    throw BadMessage(400, "bad request line")
                }
                connection.deadline = Long.MAX_VALUE
                return Request(parts[0], parts[1], body, !head.close)
            }
            buffer.clear()
            val n = channel.readSome(buffer)
            if (n < 0) return null
            if (!isBegun) {
                isBegun = true
                connections.used(connection)
                connection.deadline = nowMs() + HttpTuning.SLOW_REQUEST_MS
            }
            reader.append(buffer.array(), n)
        }
    }

    private suspend fun send(
        channel: AsynchronousSocketChannel,
        response: Response,
        keepAlive: Boolean,
    ) {
        val body = response.body.toByteArray()
        val head =
            StringBuilder(128)
                .append("HTTP/1.1 ")
                .append(response.status)
                .append(' ')
                .append(reason(response.status))
                .append("\r\n")
                .append("Content-Type: application/json\r\nContent-Length: ")
                .append(body.size)
                .append("\r\n")
        response.retryAfterS?.let { head.append("Retry-After: ").append(it).append("\r\n") }
        if (!keepAlive) head.append("Connection: close\r\n")
        head.append("\r\n")
        val headBytes = head.toString().toByteArray(Charsets.ISO_8859_1)
        val out =
            ByteBuffer
                .allocate(headBytes.size + body.size)
                .put(headBytes)
                .put(body)
                .flip()
        channel.writeAll(out, HttpTuning.WRITE_MS)
    }

    private fun reason(status: Int) =
        when (status) {
            200 -> "OK"
            201 -> "Created"
            400 -> "Bad Request"
            404 -> "Not Found"
            405 -> "Method Not Allowed"
            421 -> "Misdirected Request"
            422 -> "Unprocessable Content"
            429 -> "Too Many Requests"
            503 -> "Service Unavailable"
            else -> "Status"
        }
}
