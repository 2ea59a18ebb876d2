package ledgearch.http

/** A caller's connection. */
internal class Connection(
    val socket: AutoCloseable,
) {
    /** Its last request was one whose sender is to stay. */
    var isKept = false
    var unusedSince = 0L
    var isOpen = false
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
    var open = 0
        private set

    fun opened(c: Connection) {
        c.isOpen = true
        open++
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
        open--
        used(c)
        c.socket.closeQuietly()
    }

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
