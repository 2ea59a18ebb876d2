package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics

/** Why the leader renews its fencing token. The [label] is part of a counter in `GET /metrics`. */
internal enum class TokenRenewalReason(
    val label: String,
) {
    /** A machine left a direct start unanswered and may execute it later. */
    UNANSWERED_START("unanswered_start"),

    /** Attempts that were started directly have ended, or were stopped before they were listed. */
    ENDED_ATTEMPTS("ended_attempts"),

    /** An agent has restarted without its state, so that it has seen no token and would execute old commands. */
    AGENT_RESTART("agent_restart"),
}

/**
 * Renews the fencing token when agents have to refuse the direct starts sent under the current one. A direct command
 * may be executed late or once more, whether or not it was answered, as long as its token is the highest that the agent
 * has seen. An agent ignores the start of an attempt that it still lists, so a fence is needed only before the attempt
 * is cleared. One renewal serves all machines, and agents learn of it from the replies to their heartbeats.
 */
internal class StartFencing(
    private val election: Election,
    private val clock: Clock,
    private val metrics: Metrics,
    /** Time for which ended attempts wait, so that one renewal serves many. */
    private val intervalMs: Long,
    /** Whether a write is in flight that compares the token and would fail after a renewal. */
    private val isWritePending: () -> Boolean,
) {
    /** The token that the state below refers to. */
    private var token = 0L

    /** Machines that left a direct start under [token] unanswered. */
    private val unanswered = LinkedHashSet<Machine>()

    /** Time since when ended attempts that were started under [token] wait to be cleared, or [NEVER]. */
    private var waitingSinceMs = NEVER

    /** Whether so many attempts wait on one machine that the renewal is due at once. */
    private var isUrgent = false

    /** Whether an agent that was shown no higher token than [token] has restarted. */
    private var hasRestartedAgent = false

    /** Drops all state at the end of a term. */
    fun clear() = reset(newToken = 0L)

    /** Removes [machine], which has left the cluster. */
    fun remove(machine: Machine) {
        unanswered.remove(machine)
    }

    /** Records that [machine] did not answer a direct command with starts that was sent under [sentToken]. */
    fun recordUnansweredStart(
        machine: Machine,
        sentToken: Long,
    ) {
        resetIfRenewed()
        if (sentToken == token) unanswered.add(machine)
    }

    /** Records that an agent has restarted without its state. */
    fun recordRestart() {
        resetIfRenewed()
        hasRestartedAgent = true
    }

    /** Records the attempts that keep [pending] from containing more clears; called with each message to a machine. */
    fun recordUnfenced(pending: PendingCommands) {
        if (pending.newestStartToken == 0L) return
        resetIfRenewed()
        // The starts are fenced once the agent has seen the current token.
        if (pending.newestStartToken != token) return
        if (waitingSinceMs == NEVER) waitingSinceMs = clock.steadyMs
        if (pending.unfencedCount >= AgentTuning.URGENT_UNFENCED_ATTEMPTS) isUrgent = true
    }

    /** Renews the token if that is due and no write is pending. */
    fun runDueWork() {
        resetIfRenewed()
        val reason = dueReason() ?: return
        if (isWritePending()) return
        val hasBegun = election.renewToken(isUrgent = reason == TokenRenewalReason.AGENT_RESTART)
        if (hasBegun) metrics.count("token.renewal.${reason.label}")
    }

    private fun dueReason(): TokenRenewalReason? {
        unanswered.removeIf { machine -> machine.attempts.values.none { it.directStartToken == token } }
        return when {
            hasRestartedAgent -> TokenRenewalReason.AGENT_RESTART
            unanswered.any { !it.isUnreachable } -> TokenRenewalReason.UNANSWERED_START
            waitingSinceMs == NEVER -> null
            isUrgent || clock.steadyMs - waitingSinceMs >= intervalMs -> TokenRenewalReason.ENDED_ATTEMPTS
            else -> null
        }
    }

    private fun resetIfRenewed() {
        if (token != election.token) reset(election.token)
    }

    private fun reset(newToken: Long) {
        token = newToken
        unanswered.clear()
        waitingSinceMs = NEVER
        isUrgent = false
        hasRestartedAgent = false
    }

    private companion object {
        /** Earlier than any other time on the steady clock. */
        const val NEVER = Long.MIN_VALUE
    }
}
