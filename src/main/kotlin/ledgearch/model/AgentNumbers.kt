package ledgearch.model

import ledgearch.wire.Heartbeat

/** How a heartbeat relates to the messages of its agent that were applied before. */
internal enum class HeartbeatOrder {
    /** Newer than all of them. */
    NEWER,

    /** Not newer, but the agent may await the reply: it crossed a reply to a command, or is a prompt repeat. */
    CROSSED,

    /**
     * A late duplicate, unless the agent has restarted without its state. An agent that has kept its state awaits no
     * reply to it.
     */
    CONFLICTING,
}

/**
 * The numbers of an agent's messages. Incarnation, sequence number and token only grow until the agent restarts without
 * its state; then they begin anew with 1, 1 and 0. Heartbeats never tell such a restart from late duplicates, whatever
 * their numbers. The reply to a command does, since it was made after the command was sent. Times are steady-clock ms.
 */
internal class AgentNumbers {
    /** Number of the agent's current incarnation; 0 before its first message. */
    var incarnation = 0L
        private set

    /** Sequence number of the agent's newest message in this incarnation, a heartbeat or a reply to a command. */
    var sequence = 0L
        private set

    /** Time at which the message [sequence] was received. */
    private var receivedAtMs = 0L

    /** Sequence number of the agent's newest heartbeat in this incarnation. */
    var heartbeatSequence = 0L
        private set

    /** Time at which the heartbeat [heartbeatSequence] was first received. */
    var heartbeatFirstSeenAtMs = 0L
        private set

    /** Time after which that heartbeat was sent: an agent first awaits the reply to the previous heartbeat. */
    var heartbeatSentAfterMs = 0L
        private set

    /** The highest fencing token that the agent has shown since it started. */
    var token = 0L
        private set

    /** Highest token that messages from before a restart can carry, while [isRestartPending]; otherwise 0. */
    var restartToken = 0L
        private set

    /**
     * Whether the agent has restarted without its state and has not shown a token since that is higher than all before.
     * Until then its heartbeats look like late duplicates, and it may execute late commands from before the restart.
     */
    val isRestartPending: Boolean get() = restartToken != 0L

    /** Returns how [heartbeat], received at [nowMs], relates to the messages before. */
    fun orderOf(
        heartbeat: Heartbeat,
        nowMs: Long,
    ): HeartbeatOrder {
        if (isNewer(heartbeat) && heartbeat.token >= token && heartbeat.token > restartToken) {
            return HeartbeatOrder.NEWER
        }
        return if (mayAwaitReply(heartbeat, nowMs)) HeartbeatOrder.CROSSED else HeartbeatOrder.CONFLICTING
    }

    /** Returns whether [status] has larger numbers than all messages before. */
    fun isNewer(status: Heartbeat): Boolean =
        status.incarnation > incarnation || (status.incarnation == incarnation && status.sequence > sequence)

    /** An agent awaits the reply to its last heartbeat only, and for a limited time. */
    private fun mayAwaitReply(
        heartbeat: Heartbeat,
        nowMs: Long,
    ): Boolean {
        if (isRestartPending || heartbeat.incarnation != incarnation || heartbeat.sequence > sequence) return false
        val sinceMs =
            when {
                heartbeat.sequence < heartbeatSequence -> return false
                heartbeat.sequence == heartbeatSequence -> heartbeatFirstSeenAtMs
                else -> receivedAtMs
            }
        return nowMs - sinceMs <= ModelTuning.HEARTBEAT_REPLY_TIMEOUT_MS
    }

    /** Records the incarnation that an agent claims which has not confirmed the leader's token yet. */
    fun assumeIncarnation(assumed: Long) {
        if (assumed != incarnation) beginIncarnation(assumed)
    }

    /** Begins [newIncarnation]; sequence numbers start again. */
    fun beginIncarnation(newIncarnation: Long) {
        incarnation = newIncarnation
        sequence = 0
        heartbeatSequence = 0
    }

    /**
     * Begins to trust the numbers of the agent with [status], by which it has confirmed the leader's token. Numbers of
     * heartbeats before may have been those of late duplicates.
     */
    fun confirm(status: Heartbeat) {
        val isPlausible = status.incarnation == incarnation && heartbeatSequence <= status.sequence
        val knownHeartbeat = if (isPlausible) heartbeatSequence else 0L
        beginIncarnation(status.incarnation)
        heartbeatSequence = knownHeartbeat
    }

    /**
     * Records that the agent has restarted without its state and is in [newIncarnation] now, while [currentToken] was
     * the leader's token.
     */
    fun recordRestart(
        newIncarnation: Long,
        currentToken: Long,
    ) {
        beginIncarnation(newIncarnation)
        token = 0
        restartToken = currentToken
    }

    /** Ends the state [isRestartPending], since the agent has shown a token above [restartToken]. */
    fun endRestart() {
        restartToken = 0
    }

    /** Records [status], which is newer than all messages before, as received at [nowMs]. */
    fun record(
        status: Heartbeat,
        nowMs: Long,
    ) {
        sequence = status.sequence
        receivedAtMs = nowMs
    }

    /** Records [shown], a token that the agent has seen, and returns whether it is higher than those before. */
    fun recordToken(shown: Long): Boolean {
        if (shown <= token) return false
        token = shown
        return true
    }

    /** Records [heartbeat], received at [nowMs], and returns whether it is newer than all heartbeats before. */
    fun recordHeartbeat(
        heartbeat: Heartbeat,
        nowMs: Long,
    ): Boolean {
        if (heartbeat.sequence <= heartbeatSequence) return false
        heartbeatSequence = heartbeat.sequence
        heartbeatSentAfterMs = heartbeatFirstSeenAtMs
        heartbeatFirstSeenAtMs = nowMs
        return true
    }
}
