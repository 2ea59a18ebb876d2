package ledgearch.agents

import kotlinx.serialization.SerializationException
import ledgearch.election.Election
import ledgearch.http.HttpStatus
import ledgearch.http.Reply
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.Transport
import ledgearch.wire.CommandKind
import ledgearch.wire.CommandRequest
import ledgearch.wire.Heartbeat
import ledgearch.wire.TaskCommand
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** Sends the leader's commands and probes directly to the agents, and keeps track of the machines they don't reach. */
internal class CommandDispatcher(
    private val transport: Transport,
    private val election: Election,
    private val clock: Clock,
    private val stalls: StallCompensation,
    private val limits: DispatchLimits,
    private val listener: AgentReplyListener,
) {
    private val log = LoggerFactory.getLogger("ledgearch.agents")

    /** Machines with commands to be sent directly. */
    private val pending = LinkedHashSet<Machine>()

    /** Machines that may have got a start whose answer was lost. */
    private val unacknowledged = LinkedHashSet<Machine>()
    private val unreachable = LinkedHashSet<Machine>()

    /** Machines that a direct command did not reach: none is sent before the machine is reached again. */
    val unreachableMachines: Set<Machine> get() = unreachable

    /** Probes under way. */
    private var probesOpen = 0

    /** Direct commands under way, without probes. */
    private var callsOpen = 0

    /** Changes with every term: answers to an earlier one's calls mean nothing here. */
    private var term = 0

    /** The term has ended: answers that are still under way are ignored. */
    fun clear() {
        term++
        pending.clear()
        unacknowledged.clear()
        unreachable.clear()
        probesOpen = 0
        callsOpen = 0
    }

    /** There are new commands for [machine], to be sent directly. */
    fun enqueue(machine: Machine) {
        pending.add(machine)
    }

    /** [machine] is gone. */
    fun forget(machine: Machine) {
        pending.remove(machine)
        unacknowledged.remove(machine)
        unreachable.remove(machine)
    }

    /** All commands that the agent of [machine] has yet to carry out, see [TaskCommands.pending]. */
    fun commands(machine: Machine): List<TaskCommand> = TaskCommands.pending(machine)

    /** Sends what is pending, and fences starts whose answer was lost by a new token. */
    fun drive() {
        if (pending.isNotEmpty()) sendPending()
        unacknowledged.removeIf { machine -> machine.attempts.values.none { it.unacknowledgedToken != 0L } }
        if (unacknowledged.any { !it.unreachable }) election.renewToken()
    }

    private fun sendPending() {
        for (machine in pending.filter(::maySend)) {
            if (callsOpen >= limits.callsAtOnce) break
            pending.remove(machine)
            sendCommands(machine)
        }
    }

    private fun maySend(machine: Machine) =
        !machine.commandInFlight &&
            !machine.unreachable &&
            machine.durable &&
            machine.confirmed &&
            !machine.releaseRequested

    /** The machine has received what it was sent. */
    fun markReachable(machine: Machine) {
        machine.probesFailed = 0
        machine.probeAnswered()
        // What was lost meanwhile is sent once more.
        if (machine.unreachable) enqueue(machine)
        machine.unreachable = false
        machine.unreachableSince = 0L
        unreachable.remove(machine)
    }

    /** What was sent to the machine was not answered: nothing new is given to it until it is reached. */
    private fun markUnreachable(machine: Machine) {
        if (!listener.isCurrent(machine)) return
        machine.unreachable = true
        if (machine.unreachableSince == 0L) machine.unreachableSince = clock.steadyMs
        unreachable.add(machine)
    }

    private fun sendCommands(machine: Machine) {
        val commands = commands(machine)
        if (commands.isEmpty()) return
        val started = commands.filter { it.kind == CommandKind.START }.mapNotNull { machine.attempts.get(it.attempt) }
        started.forEach { it.startInFlight = true }
        machine.commandInFlight = true
        callsOpen++
        val token = election.token
        val sentAt = clock.steadyMs
        send(machine, commands, AgentTuning.COMMAND_TIMEOUT_MS) { status ->
            machine.commandInFlight = false
            callsOpen--
            startsSettled(machine, started, token, isAnswered = status != null)
            // A time-out of our own, while this node was behind with its work, says nothing about the machine.
            if (status == null && !stalls.wasLaggingSince(sentAt)) markUnreachable(machine)
            if (status != null && listener.isCurrent(machine)) listener.replied(machine, status)
            if (commands.size == AgentTuning.COMMANDS_AT_ONCE) enqueue(machine)
        }
    }

    /**
     * Starts sent under [token] are no longer under way; without an answer they may be carried out at any later time.
     */
    private fun startsSettled(
        machine: Machine,
        started: List<TaskAttempt>,
        token: Long,
        isAnswered: Boolean,
    ) {
        for (attempt in started) {
            attempt.startInFlight = false
            if (!isAnswered && machine.token <= token && listener.isCurrent(machine)) {
                attempt.unacknowledgedToken = token
                unacknowledged.add(machine)
            }
        }
    }

    /** [done] gets the agent's status, or null when it did not answer; it is not called once the term has ended. */
    private fun send(
        machine: Machine,
        commands: List<TaskCommand>,
        timeoutMs: Long,
        done: (Heartbeat?) -> Unit,
    ) {
        val sentIn = term
        val request = CommandRequest(election.token, machine.incarnationToName, commands)
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
                markReachable(machine)
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

    /**
     * Sends the token to a machine that is not known to follow it, or checks whether one that is overdue answers;
     * nothing when a command is under way, the next probe is not due or too many are open.
     */
    fun probe(machine: Machine) {
        if (machine.commandInFlight || clock.steadyMs < machine.probeAt || probesOpen >= limits.probesAtOnce) return
        if (!machine.confirmed && sendsHeartbeatByItself(machine)) return
        sendProbe(machine)
    }

    private fun sendProbe(machine: Machine) {
        machine.commandInFlight = true
        machine.probeAt = clock.steadyMs + probeIntervalMs(machine.probesFailed)
        probesOpen++
        val sentAt = clock.steadyMs
        val incarnation = machine.incarnation
        send(machine, emptyList(), probeIntervalMs(machine.probesFailed + 1)) { status ->
            machine.commandInFlight = false
            probesOpen--
            if (status == null) {
                probeFailed(machine, sentAt)
                return@send
            }
            if (listener.isCurrent(machine)) listener.replied(machine, status)
            // An agent in another incarnation than the one named has not accepted the token; its answer names the right
            // one, so the token is sent once more at once.
            if (listener.isCurrent(machine) && !machine.confirmed && machine.incarnation != incarnation) {
                probeAgain(machine)
            }
        }
    }

    private fun probeAgain(machine: Machine) {
        if (!machine.commandInFlight) sendProbe(machine)
    }

    private fun probeFailed(
        machine: Machine,
        sentAt: Long,
    ) {
        machine.probeUnanswered(sentAt)
        if (stalls.wasLaggingSince(sentAt)) return
        machine.probesFailed++
        if (!machine.confirmed) markUnreachable(machine)
    }

    /** ms. Hundreds that stay silent for long, in a zone that is cut off, are probed more and more seldom. */
    private fun probeIntervalMs(probesFailed: Int): Long {
        val pauses = (probesFailed - AgentTuning.PROBES).coerceIn(0, AgentTuning.MOST_PROBE_PAUSES)
        return AgentTuning.PROBE_MS * (1 + pauses)
    }

    /**
     * A machine that a new leader has just read sends a heartbeat within an interval, and the answer renews its lease,
     * as that of a probe does not. While this node does not keep up, probes would only delay the answers to heartbeats.
     * A machine that was being returned is most likely gone.
     */
    private fun sendsHeartbeatByItself(machine: Machine) =
        stalls.isLagging &&
            machine.inherited &&
            !machine.returningHint &&
            clock.steadyMs - machine.knownSince < limits.heartbeatDueMs

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
