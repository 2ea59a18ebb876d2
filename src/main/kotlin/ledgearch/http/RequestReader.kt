package ledgearch.http

import java.nio.ByteBuffer
import java.nio.channels.AsynchronousSocketChannel

/** Reads the requests of one caller, and keeps [connections] told of when its [connection] is in use. */
internal class RequestReader(
    private val channel: AsynchronousSocketChannel,
    private val connection: Connection,
    private val connections: Connections,
) {
    private val reader = MessageReader(HttpTuning.MAX_BODY)
    private val buffer = ByteBuffer.allocate(HttpTuning.READ_BUFFER)

    /** The next request, or null once the caller has closed the connection. Throws [BadMessage] for a broken one. */
    suspend fun next(): Request? {
        var hasBegun = !reader.isEmpty
        val startMs = SteadyTime.nowMs()
        connection.deadline = startMs + if (hasBegun) HttpTuning.SLOW_REQUEST_MS else HttpTuning.IDLE_MS
        if (!hasBegun) connections.unused(connection, startMs)
        while (true) {
            val head = reader.head()
            val body = if (head != null) reader.body() else null
            if (head != null && body != null) {
                val request = request(head, body)
                connection.deadline = Long.MAX_VALUE
                return request
            }
            buffer.clear()
            val count = channel.readSome(buffer)
            if (count < 0) return null
            if (!hasBegun) {
                hasBegun = true
                connections.used(connection)
                connection.deadline = SteadyTime.nowMs() + HttpTuning.SLOW_REQUEST_MS
            }
            reader.append(buffer.array(), count)
        }
    }

    private fun request(
        head: Head,
        body: String,
    ): Request {
        val parts = head.startLine.split(' ')
        if (parts.size != REQUEST_LINE_PARTS) throw badRequestLine()
        val (method, target, version) = parts
        if (!version.startsWith("HTTP/1.") || !target.startsWith("/")) throw badRequestLine()
        return Request(method, target, body, !head.close)
    }

    private fun badRequestLine() = BadMessage(HttpStatus.BAD_REQUEST, "bad request line")

    private companion object {
        /** Method, target and version. */
        const val REQUEST_LINE_PARTS = 3
    }
}
