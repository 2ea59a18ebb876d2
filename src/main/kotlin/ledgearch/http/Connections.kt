package ledgearch.http

/** A caller's connection. */
internal class Connection(
    val socket: AutoCloseable,
) {
    /** Its last request was one whose sender is to stay. */
    var isKept = false
    var unusedSince = 0L
    var isOpen = false

    /** ms. By then the caller must have sent something, or all of its request. */
    var deadline = Long.MAX_VALUE
}

/**
 * The connections open at one time. When they are as many as there may be, one that is not in use makes room: sockets
 * run out as hundreds of workers come at once, while users and the dead still hold theirs.
 */
internal class Connections(
    private val most: Int,
    private val staleMs: Long,
) {
    /** Those that wait for a request, the one unused longest first. */
    private val unused = LinkedHashSet<Connection>()
    private val unusedKept = LinkedHashSet<Connection>()
    private val all = LinkedHashSet<Connection>()
    val open: Int get() = all.size

    fun opened(c: Connection) {
        c.isOpen = true
        all.add(c)
    }

    fun unused(
        c: Connection,
        nowMs: Long,
    ) {
        c.unusedSince = nowMs
        if (c.isOpen) (if (c.isKept) unusedKept else unused).add(c)
    }

    fun used(c: Connection) {
        unused.remove(c)
        unusedKept.remove(c)
    }

    fun close(c: Connection) {
        if (!c.isOpen) return
        c.isOpen = false
        all.remove(c)
        used(c)
        c.socket.closeQuietly()
    }

    /** Closes those whose callers are late. One look now and then costs less than a timer for each read. */
    fun closeLate(nowMs: Long) = all.filter { it.deadline < nowMs }.forEach(::close)

    /** Whether one more may be opened, if need be in place of one that is not in use. */
    fun makeRoom(nowMs: Long): Boolean {
        if (open < most) return true
        val given =
            unused.firstOrNull() ?: unusedKept.firstOrNull()?.takeIf { nowMs - it.unusedSince > staleMs }
                ?: return false
        close(given)
        return true
    }
}
