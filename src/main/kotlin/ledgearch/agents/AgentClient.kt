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

/** Calls agents directly under the leader's token. */
internal class AgentClient(
    private val transport: Transport,
    private val election: Election,
    private val clock: Clock,
    private val queue: DispatchQueue,
    private val listener: AgentReplyListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /** Changes with every term: answers to an earlier one's calls mean nothing here. */
    private var term = 0

    /** The term has ended: answers that are still under way are ignored. */
    fun clear() {
        term++
    }

    /**
     * Sends [commands] to the agent of [machine]. [done] gets the status that the agent answered with, or null when it
     * did not answer; it is not called once the term has ended.
     */
    fun send(
        machine: Machine,
        commands: List<TaskCommand>,
        timeoutMs: Long,
        done: (Heartbeat?) -> Unit,
    ) {
        val sentIn = term
        val request = CommandRequest(election.token, machine.commandIncarnation, commands)
        val body = WireJson.encodeToString(CommandRequest.serializer(), request)
        val incarnation = machine.incarnation
        val sequence = machine.sequence
        val sentAt = clock.steadyMs
        // Over a slow link answers are awaited for as long as the last one took and half as long again.
        val patienceMs = maxOf(timeoutMs, machine.answerMs * AgentTuning.PATIENCE_HALVES / 2)
        transport.call(machine.endpoint, "POST", COMMAND_PATH, body, patienceMs) { reply ->
            if (term != sentIn) return@call
            val status = statusIn(reply, machine)
            if (status != null) {
                machine.answerMs = clock.steadyMs - sentAt
                queue.markReachable(machine)
                if (listener.isCurrent(machine) && isBefore(status, incarnation, sequence)) {
                    listener.lostItsState(machine)
                }
            }
            done(status)
        }
    }

    /**
     * Numbers only grow, and this answer was made after the request: they start again when the agent lost its state.
     */
    private fun isBefore(
        status: Heartbeat,
        incarnation: Long,
        sequence: Long,
    ) = status.incarnation < incarnation || (status.incarnation == incarnation && status.sequence <= sequence)

    /** The status that [machine]'s agent answered with, or null without one; a fenced command is answered too. */
    private fun statusIn(
        reply: Reply,
        machine: Machine,
    ): Heartbeat? {
        if (reply.status != HttpStatus.OK && reply.status != AgentTuning.STATUS_FENCED) return null
        return parse(reply, machine)?.takeIf { it.machine == machine.name }
    }

    private fun parse(
        reply: Reply,
        machine: Machine,
    ): Heartbeat? =
        try {
            WireJson.decodeFromString(Heartbeat.serializer(), reply.body)
        } catch (e: SerializationException) {
            log.warn("agent's answer ignored: it can't be parsed; machine={} error={}", machine.name, e.message)
            null
        }

    private companion object {
        const val COMMAND_PATH = "/orders"
    }
}
