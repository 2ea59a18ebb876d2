package ledgearch.http

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup

/** Sends requests over keep-alive connections, with a small pool per address. Used from one thread only. */
internal class HttpClient(
    group: AsynchronousChannelGroup,
    maxOpen: Int = Int.MAX_VALUE,
) {
    private val log = LoggerFactory.getLogger("ledgearch.http")
    private val pool = ConnectionPool(group, maxOpen)

    val openCount: Int get() = pool.openCount

    /**
     * Sends one request and returns the reply, within [timeoutMs]. It never retries, since only the caller can tell
     * whether a retry is safe. Every failure gives [Reply.NONE], so that each call ends with a reply.
     */
    @Suppress("TooGenericExceptionCaught") // Every failure gives a reply, see above.
    suspend fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
    ): Reply {
        var connection: PooledConnection? = null
        try {
            return withTimeoutOrNull(timeoutMs) {
                val taken = pool.acquire(address)
                connection = taken
                send(taken, address, method, target, body)
                receive(taken)
            } ?: Reply.NONE
        } catch (e: CancellationException) {
            throw e
        } catch (_: IOException) {
            return Reply.NONE
        } catch (_: MalformedMessageException) {
            return Reply.NONE
        } catch (e: RuntimeException) {
            // The address is malformed or can't be resolved at present.
            log.warn("call failed: {}; address={}", e.toString(), address)
            return Reply.NONE
        } finally {
            connection?.let { pool.release(address, it) }
        }
    }

    /** Closes connections that have been idle for [HttpTuning.POOLED_IDLE_TIMEOUT_MS]. */
    fun closeIdle() = pool.closeIdle()

    private suspend fun send(
        connection: PooledConnection,
        address: String,
        method: String,
        target: String,
        body: String?,
    ) {
        val bodyBytes = body?.toByteArray()
        val headBytes = head(address, method, target, bodyBytes).toByteArray(Charsets.ISO_8859_1)
        val message = ByteBuffer.allocate(headBytes.size + (bodyBytes?.size ?: 0)).put(headBytes)
        if (bodyBytes != null) message.put(bodyBytes)
        connection.channel.writeAll(message.flip(), HttpTuning.WRITE_TIMEOUT_MS)
    }

    /** Returns the head of a request; without a body if [bodyBytes] is null. */
    private fun head(
        address: String,
        method: String,
        target: String,
        bodyBytes: ByteArray?,
    ): String {
        val head =
            StringBuilder(HttpTuning.REQUEST_HEAD_CHARS)
                .append(method)
                .append(' ')
                .append(target)
                .append(" HTTP/1.1\r\nHost: ")
                .append(address)
                .append("\r\n")
        if (bodyBytes != null) {
            head
                .append("Content-Type: application/json\r\nContent-Length: ")
                .append(bodyBytes.size)
                .append("\r\n")
        }
        return head.append("\r\n").toString()
    }

    private suspend fun receive(connection: PooledConnection): Reply {
        val reader = connection.reader
        val buffer = ByteBuffer.allocate(HttpTuning.READ_BUFFER_BYTES * 2)
        while (true) {
            val head = reader.head()
            val body = if (head != null) reader.body() else null
            if (head != null && body != null) {
                val reply = Reply(status(head.startLine), body)
                connection.isReusable = !head.closesConnection && reader.isEmpty
                return reply
            }
            buffer.clear()
            val count = connection.channel.readSome(buffer)
            if (count < 0) throw IOException("connection closed before the end of the response")
            reader.append(buffer.array(), count)
        }
    }

    private fun status(startLine: String): Int =
        startLine
            .split(' ')
            .getOrNull(1)
            ?.toIntOrNull()
            ?: throw MalformedMessageException(HttpStatus.BAD_REQUEST, "status line without a numeric status")
}
