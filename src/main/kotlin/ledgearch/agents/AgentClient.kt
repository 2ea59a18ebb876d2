package ledgearch.agents

import kotlinx.serialization.SerializationException
import ledgearch.election.Election
import ledgearch.http.HttpStatus
import ledgearch.http.Reply
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.runtime.Transport
import ledgearch.wire.CommandRequest
import ledgearch.wire.Heartbeat
import ledgearch.wire.TaskCommand
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** Sends commands directly to agents under the leader's token. */
internal class AgentClient(
    private val transport: Transport,
    private val election: Election,
    private val clock: Clock,
    private val queue: DispatchQueue,
    private val statusRequests: StatusRequests,
    private val listener: AgentReplyListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /** Number of the current term; replies to requests of earlier terms are ignored. */
    private var term = 0

    /** Ends the term: replies to requests in flight are ignored. */
    fun clear() {
        term++
    }

    /**
     * Sends [commands] to the agent of [machine]. [onResult] is called with the status in the agent's reply, or with
     * null if there was no valid reply; it is not called once the term has ended.
     */
    fun send(
        machine: Machine,
        commands: List<TaskCommand>,
        minTimeoutMs: Long,
        onResult: (Heartbeat?) -> Unit,
    ) {
        val sentInTerm = term
        val request = CommandRequest(election.token, machine.commandIncarnation, commands)
        val body = WireJson.encodeToString(CommandRequest.serializer(), request)
        val numbers = SentNumbers(machine)
        val wasStatusRequested = statusRequests.remove(machine)
        val sentAtMs = clock.steadyMs
        val timeoutMs = maxOf(minTimeoutMs, machine.lastCommandReplyMs * AgentTuning.REPLY_TIMEOUT_HALVES / 2)
        transport.call(machine.endpoint, "POST", COMMAND_PATH, body, timeoutMs) { reply ->
            if (term != sentInTerm) return@call
            val status = acceptStatus(reply, machine)
            if (status != null) {
                machine.lastCommandReplyMs = clock.steadyMs - sentAtMs
                queue.markReachable(machine)
                if (listener.isRegistered(machine) && numbers.showRestart(status)) {
                    listener.onAgentRestarted(machine, status)
                }
            } else if (wasStatusRequested && listener.isRegistered(machine)) {
                statusRequests.add(machine)
            }
            onResult(status)
        }
    }

    /** The newest numbers of the agent of [machine] that were known when a request was sent. */
    private class SentNumbers(
        machine: Machine,
    ) {
        private val areConfirmed = machine.isConfirmed
        private val incarnation = machine.numbers.incarnation
        private val sequence = machine.numbers.sequence

        /** Returns whether [status] in the reply is numbered no later: an agent's numbers grow until it restarts. */
        fun showRestart(status: Heartbeat): Boolean {
            if (!areConfirmed) return false
            return status.incarnation < incarnation ||
                (status.incarnation == incarnation && status.sequence <= sequence)
        }
    }

    /**
     * Returns the status in the reply of the agent of [machine], or null if the reply holds none of that machine. An
     * agent that rejects a fenced command replies with its status too.
     */
    private fun acceptStatus(
        reply: Reply,
        machine: Machine,
    ): Heartbeat? {
        if (reply.status != HttpStatus.OK && reply.status != AgentTuning.FENCED_HTTP_STATUS) return null
        return parseStatus(reply, machine)?.takeIf { it.machine == machine.name }
    }

    private fun parseStatus(
        reply: Reply,
        machine: Machine,
    ): Heartbeat? =
        try {
            WireJson.decodeFromString(Heartbeat.serializer(), reply.body)
        } catch (e: SerializationException) {
            log.warn("agent reply ignored: it is not a valid status; machine={} error={}", machine.name, e.message)
            null
        }

    private companion object {
        const val COMMAND_PATH = "/orders"
    }
}
