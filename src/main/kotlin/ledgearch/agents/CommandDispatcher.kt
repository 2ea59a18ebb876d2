package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.Transport
import ledgearch.wire.CommandKind
import ledgearch.wire.TaskCommand

/**
 * Sends the leader's commands directly to the agents, and renews the token to fence starts that were not answered. It
 * also gives access to probes and to the machines that commands don't reach.
 */
internal class CommandDispatcher(
    transport: Transport,
    private val election: Election,
    private val clock: Clock,
    private val lagMonitor: EventLoopLagMonitor,
    private val limits: DispatchLimits,
    private val listener: AgentReplyListener,
) {
    private val queue = DispatchQueue(clock, listener)
    private val client = AgentClient(transport, election, clock, queue, listener)
    private val probes =
        AgentProbes(
            client,
            queue,
            limits.maxConcurrentProbes,
            limits.maxHeartbeatIntervalMs,
            lagMonitor,
            clock,
            listener,
        )

    /** Machines that may have received a start without replying to it. */
    private val unacknowledged = LinkedHashSet<Machine>()

    /** Requests with direct commands in flight, without probes. */
    private var requestsInFlight = 0

    /** Machines that left a direct command unanswered and have not been reached since. */
    val unreachableMachines: Set<Machine> get() = queue.unreachableMachines

    /** Ends the term: replies to requests in flight are ignored. */
    fun clear() {
        client.clear()
        queue.clear()
        probes.clear()
        unacknowledged.clear()
        requestsInFlight = 0
    }

    /** Queues [machine], which has new commands, for direct sending. */
    fun enqueue(machine: Machine) = queue.enqueue(machine)

    /** Removes [machine], which has left the cluster. */
    fun remove(machine: Machine) {
        queue.remove(machine)
        unacknowledged.remove(machine)
    }

    /** Returns the commands that the agent of [machine] has yet to carry out, see [TaskCommands.pending]. */
    fun pendingCommands(machine: Machine): List<TaskCommand> = TaskCommands.pending(machine)

    /** Marks [machine] as reachable; commands that were lost meanwhile are sent again. */
    fun markReachable(machine: Machine) = queue.markReachable(machine)

    /** Probes [machine] if a probe is due, see [AgentProbes.probe]. */
    fun probe(machine: Machine) = probes.probe(machine)

    /** Sends pending commands, and renews the token to fence unacknowledged starts. */
    fun runDueWork() {
        if (!queue.isEmpty) sendPending()
        unacknowledged.removeIf { machine -> machine.attempts.values.none { it.unacknowledgedStartToken != 0L } }
        if (unacknowledged.any { !it.isUnreachable }) election.renewToken()
    }

    private fun sendPending() {
        for (machine in queue.sendable()) {
            if (requestsInFlight >= limits.maxConcurrentCommands) break
            queue.dequeue(machine)
            sendCommands(machine)
        }
    }

    private fun sendCommands(machine: Machine) {
        val commands = pendingCommands(machine)
        if (commands.isEmpty()) return
        val started = commands.filter { it.kind == CommandKind.START }.mapNotNull { machine.attempts.get(it.attempt) }
        started.forEach { it.isStartInFlight = true }
        machine.isCommandInFlight = true
        requestsInFlight++
        val token = election.token
        val sentAtMs = clock.steadyMs
        client.send(machine, commands, AgentTuning.COMMAND_TIMEOUT_MS) { status ->
            machine.isCommandInFlight = false
            requestsInFlight--
            endStarts(machine, started, token, isAnswered = status != null)
            // A time-out while this node lagged may be this node's own and says nothing about the machine.
            if (status == null && !lagMonitor.wasLaggingSince(sentAtMs)) queue.markUnreachable(machine)
            if (status != null && listener.isRegistered(machine)) listener.onReply(machine, status)
            if (commands.size == AgentTuning.MAX_COMMANDS_PER_MESSAGE) enqueue(machine)
        }
    }

    /**
     * Marks starts sent under [token] as no longer in flight. Those without a reply may be carried out at any later
     * time, so their token is recorded.
     */
    private fun endStarts(
        machine: Machine,
        started: List<TaskAttempt>,
        token: Long,
        isAnswered: Boolean,
    ) {
        for (attempt in started) {
            attempt.isStartInFlight = false
            if (!isAnswered && machine.highestSeenToken <= token && listener.isRegistered(machine)) {
                attempt.unacknowledgedStartToken = token
                unacknowledged.add(machine)
            }
        }
    }
}
