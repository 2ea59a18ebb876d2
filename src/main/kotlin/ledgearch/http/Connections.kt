package ledgearch.http

/** A client's connection, open until [Connections] closes its [socket]. */
internal class Connection(
    val socket: AutoCloseable,
) {
    /** Whether the client is to stay connected, as workers are; decided by its last request. */
    var isLongLived = false

    /** Time in ms since which the connection has been waiting for a request. */
    var idleSinceMs = 0L

    var isOpen = false

    /** Time in ms by which the client must have sent its first byte, or all of its request. */
    var deadlineMs = Long.MAX_VALUE
}

/**
 * Tracks the open connections of a server, at most [maxOpen]. When that many are open, an idle one is closed to make
 * room: hundreds of workers may connect at once while users and dead clients still hold their sockets. A long-lived
 * connection is closed only after more than [minEvictionIdleMs] idle ms. Used from one thread only; times are ms of
 * [SteadyTime].
 */
internal class Connections(
    private val maxOpen: Int,
    private val minEvictionIdleMs: Long,
) {
    /** Connections that wait for a request and are not long-lived, longest idle first. */
    private val idle = LinkedHashSet<Connection>()
    private val idleLongLived = LinkedHashSet<Connection>()
    private val all = LinkedHashSet<Connection>()

    val openCount: Int get() = all.size

    /** Adds [connection] to the open ones. */
    fun add(connection: Connection) {
        connection.isOpen = true
        all.add(connection)
    }

    /** Marks [connection] as idle: it waits for a request. */
    fun markIdle(
        connection: Connection,
        nowMs: Long,
    ) {
        connection.idleSinceMs = nowMs
        if (!connection.isOpen) return
        if (connection.isLongLived) idleLongLived.add(connection) else idle.add(connection)
    }

    /** Marks [connection] as busy: a request has begun. */
    fun markBusy(connection: Connection) {
        idle.remove(connection)
        idleLongLived.remove(connection)
    }

    /** Closes [connection] unless it is closed already. */
    fun close(connection: Connection) {
        if (!connection.isOpen) return
        connection.isOpen = false
        all.remove(connection)
        markBusy(connection)
        connection.socket.closeQuietly()
    }

    /** Closes the connections whose deadline has passed. One periodic check costs less than a timer per read. */
    fun closeExpired(nowMs: Long) = all.filter { it.deadlineMs < nowMs }.forEach(::close)

    /** Returns whether one more connection may be opened, after closing an idle one if necessary. */
    fun makeRoom(nowMs: Long): Boolean {
        if (openCount < maxOpen) return true
        val replaced = idle.firstOrNull() ?: evictableLongLived(nowMs) ?: return false
        close(replaced)
        return true
    }

    private fun evictableLongLived(nowMs: Long): Connection? =
        idleLongLived.firstOrNull()?.takeIf {
            nowMs - it.idleSinceMs >
                minEvictionIdleMs
        }
}
