package ledgearch.http

import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/** A connection to another, used for one exchange at a time. */
internal class PooledConnection(
    val channel: AsynchronousSocketChannel,
) {
    val reader = MessageReader(HttpTuning.MAX_RESPONSE)

    /** Its last exchange went through to the end, and the other side keeps it open. */
    var isReusable = false

    /** ms of [SteadyTime]. When it was last put back. */
    var idleSince = 0L
}

/**
 * Kept-alive connections to others, by address. At most [maxOpen] are open as long as unused ones can be closed
 * instead: hundreds of workers are called now and then, and without a bound their unused connections would use up the
 * sockets allowed. Used from one thread only.
 */
internal class ConnectionPool(
    private val group: AsynchronousChannelGroup,
    private val maxOpen: Int,
) {
    /** The addresses that have unused connections, the one used longest ago first. */
    private val idle = LinkedHashMap<String, ArrayDeque<PooledConnection>>()
    private var idleCount = 0

    /** Connections that are open or being opened. */
    var open = 0
        private set

    /** The unused connection to [address] that was used last, or a new one; throws [IOException] when there is none. */
    suspend fun take(address: String): PooledConnection = takeIdle(address) ?: open(address)

    /** Ends the use of [connection] to [address]: it is kept for the next call, or closed. */
    fun release(
        address: String,
        connection: PooledConnection,
    ) {
        if (connection.isReusable) putBack(address, connection) else close(connection.channel)
    }

    /** Closes connections that nobody used for [HttpTuning.POOLED_IDLE_MS]. */
    fun closeIdle() {
        val nowMs = SteadyTime.nowMs()
        val queues = idle.values.iterator()
        while (queues.hasNext()) {
            val queue = queues.next()
            while (queue.isNotEmpty() && isTooOld(queue.first(), nowMs)) closeOldest(queue)
            if (queue.isEmpty()) queues.remove()
        }
    }

    private fun takeIdle(address: String): PooledConnection? {
        val queue = idle[address] ?: return null
        val nowMs = SteadyTime.nowMs()
        while (queue.isNotEmpty()) {
            val connection = queue.removeLast()
            idleCount--
            if (!isTooOld(connection, nowMs)) return connection.also { it.isReusable = false }
            close(connection.channel)
        }
        return null
    }

    private fun isTooOld(
        connection: PooledConnection,
        nowMs: Long,
    ): Boolean = nowMs - connection.idleSince > HttpTuning.POOLED_IDLE_MS

    private fun putBack(
        address: String,
        connection: PooledConnection,
    ) {
        connection.idleSince = SteadyTime.nowMs()
        // Taken out and put in again, so that this address becomes the one used last.
        val queue = idle.remove(address) ?: ArrayDeque()
        queue.addLast(connection)
        idle[address] = queue
        idleCount++
        makeRoom()
    }

    private fun makeRoom() {
        while (open > maxOpen && idleCount > 0) {
            val (address, queue) = idle.entries.first()
            if (queue.isNotEmpty()) closeOldest(queue)
            if (queue.isEmpty()) idle.remove(address)
        }
    }

    private fun closeOldest(queue: ArrayDeque<PooledConnection>) {
        idleCount--
        close(queue.removeFirst().channel)
    }

    private fun close(channel: AsynchronousSocketChannel) {
        open--
        channel.closeQuietly()
    }

    private suspend fun open(address: String): PooledConnection {
        val channel = AsynchronousSocketChannel.open(group)
        open++
        makeRoom()
        var opened: PooledConnection? = null
        try {
            withTimeoutOrNull(HttpTuning.CONNECT_MS) {
                channel.connectTo(parseAddress(address))
                true
            } ?: throw IOException("no connection")
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            opened = PooledConnection(channel)
            return opened
        } finally {
            if (opened == null) close(channel)
        }
    }
}
