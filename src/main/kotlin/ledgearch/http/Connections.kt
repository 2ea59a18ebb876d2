package ledgearch.http

/** A caller's connection, open until [Connections] closes its [socket]. */
internal class Connection(
    val socket: AutoCloseable,
) {
    /** The sender of its last request is to stay connected, as workers are. */
    var isKept = false

    /** ms. When it began to wait for a request. */
    var unusedSince = 0L

    /** It counts among the open ones. */
    var isOpen = false

    /** ms. By then the caller must have sent something, or all of its request. */
    var deadline = Long.MAX_VALUE
}

/**
 * The connections open at one time, at most [most]. With that many, one that is not in use makes room: sockets run out
 * as hundreds of workers come at once, while users and the dead still hold theirs. A kept connection makes room only
 * when it was unused for more than [staleMs]. Used from one thread only; times are ms of [SteadyTime].
 */
internal class Connections(
    private val most: Int,
    private val staleMs: Long,
) {
    /** Those that wait for a request, the one unused longest first. */
    private val unused = LinkedHashSet<Connection>()
    private val unusedKept = LinkedHashSet<Connection>()
    private val all = LinkedHashSet<Connection>()

    /** Connections open now. */
    val open: Int get() = all.size

    /** Counts [connection] from now on. */
    fun opened(connection: Connection) {
        connection.isOpen = true
        all.add(connection)
    }

    /** [connection] waits for a request. */
    fun unused(
        connection: Connection,
        nowMs: Long,
    ) {
        connection.unusedSince = nowMs
        if (!connection.isOpen) return
        if (connection.isKept) unusedKept.add(connection) else unused.add(connection)
    }

    /** A request on [connection] has begun. */
    fun used(connection: Connection) {
        unused.remove(connection)
        unusedKept.remove(connection)
    }

    /** Closes [connection] unless it is closed already. */
    fun close(connection: Connection) {
        if (!connection.isOpen) return
        connection.isOpen = false
        all.remove(connection)
        used(connection)
        connection.socket.closeQuietly()
    }

    /** Closes those whose callers are late. One look now and then costs less than a timer for each read. */
    fun closeLate(nowMs: Long) = all.filter { it.deadline < nowMs }.forEach(::close)

    /** Whether one more may be opened, if need be in place of one that is not in use. */
    fun makeRoom(nowMs: Long): Boolean {
        if (open < most) return true
        val replaced = unused.firstOrNull() ?: staleKept(nowMs) ?: return false
        close(replaced)
        return true
    }

    private fun staleKept(nowMs: Long): Connection? =
        unusedKept.firstOrNull()?.takeIf {
            nowMs - it.unusedSince >
                staleMs
        }
}
