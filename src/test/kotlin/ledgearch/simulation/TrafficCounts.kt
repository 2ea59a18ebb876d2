package ledgearch.simulation

import ledgearch.http.Reply

/** Counts messages, writes and the delays until workers were told to clear ended attempts. */
internal class TrafficCounts {
    var heartbeatCount = 0L
        private set
    var heartbeatBytes = 0L
        private set
    var directCommandCount = 0L
        private set
    var transactionCount = 0L
        private set
    var conflictCount = 0L
        private set
    var changedKeyCount = 0L
        private set

    /** Most tasks that a worker has listed in one heartbeat. */
    var maxListedTasks = 0
        private set
    private val clearDelaysMs = ArrayList<Long>()

    fun recordHeartbeat(body: String) {
        heartbeatCount++
        heartbeatBytes += body.length
    }

    fun recordListedTasks(count: Int) {
        maxListedTasks = maxOf(maxListedTasks, count)
    }

    /** Records the [reply] to a request of a controller. */
    fun recordReply(
        request: Message,
        reply: Reply,
    ) {
        if (request.target == RequestRepeats.COMMAND_TARGET) directCommandCount++
        if (request.target != TRANSACTION_TARGET) return
        transactionCount++
        if (reply.status == CONFLICT_STATUS) conflictCount++
    }

    fun recordChanges(keyCount: Int) {
        changedKeyCount += keyCount
    }

    /** Records that a worker cleared an attempt [delayMs] after it had ended. */
    fun recordClear(delayMs: Long) {
        clearDelaysMs.add(delayMs)
    }

    override fun toString(): String {
        val sorted = clearDelaysMs.sorted()

        fun percentile(percent: Int) =
            sorted.getOrElse((sorted.size * percent / 100).coerceAtMost(sorted.size - 1)) { 0 }
        return "$heartbeatCount heartbeats, $heartbeatBytes bytes in them, $directCommandCount direct commands, " +
            "$transactionCount transactions ($conflictCount conflicts), $changedKeyCount keys changed, " +
            "${sorted.size} attempts cleared after p50 ${percentile(50)} p90 ${percentile(90)} " +
            "max ${percentile(100)} ms, at most $maxListedTasks tasks listed"
    }

    private companion object {
        const val TRANSACTION_TARGET = "/txn"
        const val CONFLICT_STATUS = 409
    }
}
