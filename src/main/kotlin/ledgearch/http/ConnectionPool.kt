package ledgearch.http

import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/** An outgoing connection, used for one exchange at a time. */
internal class PooledConnection(
    val channel: AsynchronousSocketChannel,
) {
    val reader = MessageReader(HttpTuning.MAX_RESPONSE_BODY_BYTES)

    /** Whether the last exchange completed and the server keeps the connection open. */
    var isReusable = false

    /** Time of the last return to the pool, in ms of [SteadyTime]. */
    var idleSinceMs = 0L
}

/**
 * Pools keep-alive connections by address. When more than [maxOpen] are open, idle ones are closed. Without this bound,
 * the idle connections to hundreds of rarely called workers would use up the process's sockets. Used from one thread
 * only.
 */
internal class ConnectionPool(
    private val group: AsynchronousChannelGroup,
    private val maxOpen: Int,
) {
    /** Idle connections by address, the least recently used address first. */
    private val idle = LinkedHashMap<String, ArrayDeque<PooledConnection>>()
    private var idleCount = 0

    /** Number of connections that are open or being opened. */
    var openCount = 0
        private set

    /** Returns the last used idle connection to [address] or opens one; throws [IOException] when that fails. */
    suspend fun acquire(address: String): PooledConnection = takeIdle(address) ?: open(address)

    /** Returns [connection] to the pool if it is reusable; otherwise closes it. */
    fun release(
        address: String,
        connection: PooledConnection,
    ) {
        if (connection.isReusable) putBack(address, connection) else close(connection.channel)
    }

    /** Closes connections that were idle for [HttpTuning.POOLED_IDLE_TIMEOUT_MS]. */
    fun closeIdle() {
        val nowMs = SteadyTime.nowMs()
        val queues = idle.values.iterator()
        while (queues.hasNext()) {
            val queue = queues.next()
            while (queue.isNotEmpty() && isExpired(queue.first(), nowMs)) closeLeastRecentlyUsed(queue)
            if (queue.isEmpty()) queues.remove()
        }
    }

    private fun takeIdle(address: String): PooledConnection? {
        val queue = idle[address] ?: return null
        val nowMs = SteadyTime.nowMs()
        while (queue.isNotEmpty()) {
            val connection = queue.removeLast()
            idleCount--
            if (!isExpired(connection, nowMs)) return connection.also { it.isReusable = false }
            close(connection.channel)
        }
        return null
    }

    private fun isExpired(
        connection: PooledConnection,
        nowMs: Long,
    ): Boolean = nowMs - connection.idleSinceMs > HttpTuning.POOLED_IDLE_TIMEOUT_MS

    private fun putBack(
        address: String,
        connection: PooledConnection,
    ) {
        connection.idleSinceMs = SteadyTime.nowMs()
        // Removed and inserted again, so that this address becomes the most recently used one.
        val queue = idle.remove(address) ?: ArrayDeque()
        queue.addLast(connection)
        idle[address] = queue
        idleCount++
        closeExcessIdle()
    }

    private fun closeExcessIdle() {
        while (openCount > maxOpen && idleCount > 0) {
            val (address, queue) = idle.entries.first()
            if (queue.isNotEmpty()) closeLeastRecentlyUsed(queue)
            if (queue.isEmpty()) idle.remove(address)
        }
    }

    private fun closeLeastRecentlyUsed(queue: ArrayDeque<PooledConnection>) {
        idleCount--
        close(queue.removeFirst().channel)
    }

    private fun close(channel: AsynchronousSocketChannel) {
        openCount--
        channel.closeQuietly()
    }

    private suspend fun open(address: String): PooledConnection {
        val channel = AsynchronousSocketChannel.open(group)
        openCount++
        closeExcessIdle()
        var opened: PooledConnection? = null
        try {
            withTimeoutOrNull(HttpTuning.CONNECT_TIMEOUT_MS) {
                channel.connectTo(parseAddress(address))
                true
            } ?: throw IOException("no connection to $address within ${HttpTuning.CONNECT_TIMEOUT_MS} ms")
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            opened = PooledConnection(channel)
            return opened
        } finally {
            if (opened == null) close(channel)
        }
    }
}
