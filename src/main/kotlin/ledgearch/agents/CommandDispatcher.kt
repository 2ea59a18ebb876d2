package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.StallCompensation
import ledgearch.runtime.Transport
import ledgearch.wire.CommandKind
import ledgearch.wire.TaskCommand

/**
 * Sends the leader's commands directly to the agents, and has starts whose answer was lost fenced by a new token. It
 * also gives access to probes and to the machines that commands don't reach.
 */
internal class CommandDispatcher(
    transport: Transport,
    private val election: Election,
    private val clock: Clock,
    private val stalls: StallCompensation,
    private val limits: DispatchLimits,
    private val listener: AgentReplyListener,
) {
    private val queue = DispatchQueue(clock, listener)
    private val client = AgentClient(transport, election, clock, queue, listener)
    private val probes =
        AgentProbes(client, queue, limits.probesAtOnce, limits.heartbeatDueMs, stalls, clock, listener)

    /** Machines that may have got a start whose answer was lost. */
    private val unacknowledged = LinkedHashSet<Machine>()

    /** Direct commands under way, without probes. */
    private var callsUnderWay = 0

    /** Machines that a direct command did not reach: none is sent before the machine is reached again. */
    val unreachableMachines: Set<Machine> get() = queue.unreachableMachines

    /** The term has ended: answers that are still under way are ignored. */
    fun clear() {
        client.clear()
        queue.clear()
        probes.clear()
        unacknowledged.clear()
        callsUnderWay = 0
    }

    /** There are new commands for [machine], to be sent directly. */
    fun enqueue(machine: Machine) = queue.add(machine)

    /** [machine] is gone. */
    fun forget(machine: Machine) {
        queue.forget(machine)
        unacknowledged.remove(machine)
    }

    /** All commands that the agent of [machine] has yet to carry out, see [TaskCommands.pending]. */
    fun commands(machine: Machine): List<TaskCommand> = TaskCommands.pending(machine)

    /** [machine] has received what it was sent: commands that were lost meanwhile are sent once more. */
    fun markReachable(machine: Machine) = queue.markReachable(machine)

    /** Probes [machine] if a probe is due, see [AgentProbes.probe]. */
    fun probe(machine: Machine) = probes.probe(machine)

    /** Sends what is pending, and fences starts whose answer was lost by a new token. */
    fun drive() {
        if (!queue.isEmpty) sendPending()
        unacknowledged.removeIf { machine -> machine.attempts.values.none { it.unacknowledgedToken != 0L } }
        if (unacknowledged.any { !it.unreachable }) election.renewToken()
    }

    private fun sendPending() {
        for (machine in queue.sendable()) {
            if (callsUnderWay >= limits.callsAtOnce) break
            queue.remove(machine)
            sendCommands(machine)
        }
    }

    private fun sendCommands(machine: Machine) {
        val commands = commands(machine)
        if (commands.isEmpty()) return
        val started = commands.filter { it.kind == CommandKind.START }.mapNotNull { machine.attempts.get(it.attempt) }
        started.forEach { it.startInFlight = true }
        machine.commandInFlight = true
        callsUnderWay++
        val token = election.token
        val sentAt = clock.steadyMs
        client.send(machine, commands, AgentTuning.COMMAND_TIMEOUT_MS) { status ->
            machine.commandInFlight = false
            callsUnderWay--
            startsSettled(machine, started, token, isAnswered = status != null)
            // A time-out of our own, while this node was behind with its work, says nothing about the machine.
            if (status == null && !stalls.wasLaggingSince(sentAt)) queue.markUnreachable(machine)
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
}
