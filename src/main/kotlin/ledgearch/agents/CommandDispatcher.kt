package ledgearch.agents

import kotlinx.serialization.SerializationException
import ledgearch.election.Election
import ledgearch.http.Reply
import ledgearch.model.AttemptState
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.runtime.Clock
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.Transport
import ledgearch.wire.CommandKind
import ledgearch.wire.CommandRequest
import ledgearch.wire.Heartbeat
import ledgearch.wire.TaskCommand
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** What the leader has to say to its machines: orders in answers to reports, and direct commands. */
internal class CommandDispatcher(
    private val transport: Transport,
    private val election: Election,
    private val clock: Clock,
    private val stalls: StallCompensation,
    private val probesAtOnce: Int,
    private val callsAtOnce: Int,
    private val dueMs: Long,
    private val isHere: (Machine) -> Boolean,
    private val heard: (Machine, Heartbeat) -> Unit,
    private val restarted: (Machine) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")

    /** Machines with news to be sent directly, and those that may have got a start whose answer was lost. */
    private val pending = LinkedHashSet<Machine>()
    private val unacknowledged = LinkedHashSet<Machine>()

    /** Machines that a direct command did not reach: none is sent before the machine is reached again. */
    val unreachableMachines = LinkedHashSet<Machine>()
    private var probesOpen = 0

    /** Direct commands under way, without probes. */
    private var callsOpen = 0

    /** Changes with every term: answers to an earlier one's calls mean nothing here. */
    private var term = 0

    fun clear() {
        term++
        pending.clear()
        unacknowledged.clear()
        unreachableMachines.clear()
        probesOpen = 0
        callsOpen = 0
    }

    fun enqueue(machine: Machine) {
        pending.add(machine)
    }

    fun forget(machine: Machine) {
        pending.remove(machine)
        unacknowledged.remove(machine)
        unreachableMachines.remove(machine)
    }

    /** Everything the worker should still be told; each order may be repeated without harm until it shows. */
    fun commands(machine: Machine): List<TaskCommand> {
        if (!machine.durable || !machine.confirmed) return emptyList()
        val halts = ArrayList<TaskCommand>()
        val starts = ArrayList<TaskCommand>()
        for (attempt in machine.attempts.values) {
            when {
                attempt.exited -> {
                    if (attempt.clearable &&
                        attempt.settled(machine.heartbeatSequence)
                    ) {
                        halts.add(TaskCommand(CommandKind.CLEAR, attempt.taskId, attempt.number))
                    }
                }

                attempt.stop != StopMode.NONE -> {
                    val grace =
                        if (attempt.stop ==
                            StopMode.CHECKPOINT_FIRST
                        ) {
                            attempt.job?.spec?.checkpointS ?: 0.0
                        } else {
                            0.0
                        }
                    if (attempt.state != AttemptState.SAVING ||
                        grace == 0.0
                    ) {
                        halts.add(TaskCommand(CommandKind.STOP, attempt.taskId, attempt.number, grace))
                    }
                }

                !attempt.reported -> {
                    starts.add(TaskCommand(CommandKind.START, attempt.taskId, attempt.number))
                }
            }
        }
        // A message has a size that it may not pass; what is left over goes with the next one.
        return (halts + starts).take(AgentTuning.COMMANDS_AT_ONCE)
    }

    fun drive() {
        if (pending.isNotEmpty()) {
            val ready =
                pending.filter {
                    !it.commandInFlight && !it.unreachable && it.durable && it.confirmed &&
                        !it.releaseRequested
                }
            for (machine in ready) {
                if (callsOpen >= callsAtOnce) break
                pending.remove(machine)
                sendCommands(machine)
            }
        }
        unacknowledged.removeIf { machine -> machine.attempts.values.none { it.unacknowledgedToken != 0L } }
        if (unacknowledged.any { !it.unreachable }) election.renewToken()
    }

    /** The machine took what it was sent. */
    fun markReachable(machine: Machine) {
        machine.probesFailed = 0
        machine.probeAnswered()
        // What was lost meanwhile is told once more.
        if (machine.unreachable) enqueue(machine)
        machine.unreachable = false
        machine.unreachableSince = 0L
        unreachableMachines.remove(machine)
    }

    /** What was sent to the machine did not show: nothing new is given to it until it is reached. */
    fun markUnreachable(machine: Machine) {
        if (!isHere(machine)) return
        machine.unreachable = true
        if (machine.unreachableSince == 0L) machine.unreachableSince = clock.steadyMs
        unreachableMachines.add(machine)
    }

    private fun sendCommands(machine: Machine) {
        val list = commands(machine)
        if (list.isEmpty()) return
        val started = list.filter { it.kind == CommandKind.START }.mapNotNull { machine.attempts.get(it.attempt) }
        started.forEach { it.startInFlight = true }
        machine.commandInFlight = true
        callsOpen++
        val token = election.token
        val sentAt = clock.steadyMs
        direct(machine, list, AgentTuning.PUSH_MS) { answer ->
            machine.commandInFlight = false
            callsOpen--
            for (attempt in started) {
                attempt.startInFlight = false
                if (answer == null && machine.token <= token && isHere(machine)) {
                    attempt.unacknowledgedToken = token
                    unacknowledged.add(machine)
                }
            }
            // A time-out of our own, while this node was behind with its work, says nothing about the machine.
            if (answer == null && !stalls.wasLaggingSince(sentAt)) markUnreachable(machine)
            if (answer != null && isHere(machine)) heard(machine, answer)
            if (list.size == AgentTuning.COMMANDS_AT_ONCE) enqueue(machine)
        }
    }

    /** [done] gets the machine's report, or null when it did not answer. */
    private fun direct(
        machine: Machine,
        list: List<TaskCommand>,
        timeoutMs: Long,
        done: (Heartbeat?) -> Unit,
    ) {
        val mine = term
        val body =
            WireJson.encodeToString(
                CommandRequest.serializer(),
                CommandRequest(election.token, machine.incarnationToName, list),
            )
        val incarnation = machine.incarnation
        val sequence = machine.sequence
        val sentAt = clock.steadyMs
        // Over a slow link answers are awaited for as long as the last one took and half as long again.
        transport.call(machine.endpoint, "POST", "/orders", body, maxOf(timeoutMs, machine.answerMs * 3 / 2)) { reply ->
            if (term != mine) return@call
            val answer =
                if (reply.status == 200 ||
                    reply.status == 409
                ) {
                    parse(reply)?.takeIf { it.machine == machine.name }
                } else {
                    null
                }
            if (answer != null) {
                machine.answerMs = clock.steadyMs - sentAt
                markReachable(machine)
            }
            // Numbers only grow, and this answer was made after the request: they have begun anew, and the worker with
            // them.
            if (answer != null && isHere(machine) &&
                (answer.incarnation < incarnation || (answer.incarnation == incarnation && answer.sequence <= sequence))
            ) {
                restarted(machine)
            }
            done(answer)
        }
    }

    /**
     * Shows the token to a machine that is not known to follow it, or asks one that is overdue for a sign of life. If
     * its session is another than the one known here, its answer tells which, and the token is shown once more.
     */
    fun probe(
        machine: Machine,
        again: Boolean = false,
    ) {
        if (machine.commandInFlight ||
            (!again && (clock.steadyMs < machine.probeAt || probesOpen >= probesAtOnce))
        ) {
            return
        }
        if (!again && !machine.confirmed && reportsByItself(machine)) return
        machine.commandInFlight = true
        // Hundreds that stay silent for long, in a zone that is cut off, are asked more and more seldom.
        machine.probeAt =
            clock.steadyMs +
            AgentTuning.PROBE_MS *
            (1 + (machine.probesFailed - AgentTuning.PROBES).coerceIn(0, AgentTuning.MOST_PROBE_PAUSES))
        probesOpen++
        val sentAt = clock.steadyMs
        val incarnation = machine.incarnation
        direct(
            machine,
            emptyList(),
            AgentTuning.PROBE_MS *
                (1 + (machine.probesFailed + 1 - AgentTuning.PROBES).coerceIn(0, AgentTuning.MOST_PROBE_PAUSES)),
        ) { answer ->
            machine.commandInFlight = false
            probesOpen--
            if (answer == null) {
                machine.probeUnanswered(sentAt)
                if (!stalls.wasLaggingSince(sentAt)) {
                    machine.probesFailed++
                    if (!machine.confirmed) markUnreachable(machine)
                }
                return@direct
            }
            if (isHere(machine)) heard(machine, answer)
            if (isHere(machine) && !machine.confirmed &&
                machine.incarnation != incarnation
            ) {
                probe(machine, again = true)
            }
        }
    }

    /**
     * A machine that a new leader has just read reports within an interval, and the answer renews its lease, as that of
     * a probe does not. While this node does not keep up, probes would only delay the answers to reports. One that was
     * being returned is most likely gone.
     */
    private fun reportsByItself(machine: Machine) =
        stalls.isLagging && machine.inherited && !machine.returningHint && clock.steadyMs - machine.knownSince < dueMs

    private fun parse(reply: Reply): Heartbeat? =
        try {
            WireJson.decodeFromString(Heartbeat.serializer(), reply.body)
        } catch (e: SerializationException) {
            log.warn("a worker's answer makes no sense: {}", e.message)
            null
        }
}
