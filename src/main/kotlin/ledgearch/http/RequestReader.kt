package ledgearch.http

import java.nio.ByteBuffer
import java.nio.channels.AsynchronousSocketChannel

/** Reads the requests of one client and marks its [connection] as idle or busy in [connections]. */
internal class RequestReader(
    private val channel: AsynchronousSocketChannel,
    private val connection: Connection,
    private val connections: Connections,
) {
    private val reader = MessageReader(HttpTuning.MAX_REQUEST_BODY_BYTES)
    private val buffer = ByteBuffer.allocate(HttpTuning.READ_BUFFER_BYTES)

    /** Returns the next request, or null at the end; throws [MalformedMessageException] for a malformed one. */
    suspend fun next(): Request? {
        var hasStarted = !reader.isEmpty
        val startMs = SteadyTime.nowMs()
        connection.deadlineMs =
            startMs + if (hasStarted) HttpTuning.REQUEST_READ_TIMEOUT_MS else HttpTuning.IDLE_TIMEOUT_MS
        if (!hasStarted) connections.markIdle(connection, startMs)
        while (true) {
            val head = reader.head()
            val body = if (head != null) reader.body() else null
            if (head != null && body != null) {
                val request = request(head, body)
                connection.deadlineMs = Long.MAX_VALUE
                return request
            }
            buffer.clear()
            val count = channel.readSome(buffer)
            if (count < 0) return null
            if (!hasStarted) {
                hasStarted = true
                connections.markBusy(connection)
                connection.deadlineMs = SteadyTime.nowMs() + HttpTuning.REQUEST_READ_TIMEOUT_MS
            }
            reader.append(buffer.array(), count)
        }
    }

    private fun request(
        head: Head,
        body: String,
    ): Request {
        val parts = head.startLine.split(' ')
        if (parts.size != REQUEST_LINE_PARTS) throw invalidRequestLine()
        val (method, target, version) = parts
        if (!version.startsWith("HTTP/1.") || !target.startsWith("/")) throw invalidRequestLine()
        return Request(method, target, body, !head.closesConnection)
    }

    private fun invalidRequestLine() =
        MalformedMessageException(HttpStatus.BAD_REQUEST, "request line is not METHOD TARGET VERSION with HTTP/1.x")

    private companion object {
        /** Method, target and version. */
        const val REQUEST_LINE_PARTS = 3
    }
}
