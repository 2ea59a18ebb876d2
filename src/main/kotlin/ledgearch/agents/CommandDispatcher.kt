package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor
import ledgearch.runtime.Metrics
import ledgearch.runtime.Transport
import ledgearch.wire.CommandKind
import ledgearch.wire.Heartbeat
import ledgearch.wire.TaskCommand

/**
 * Sends the leader's commands directly to the agents, and fences the starts among them ([StartFencing]). It also gives
 * access to probes and to the machines that commands don't reach.
 */
internal class CommandDispatcher(
    transport: Transport,
    private val election: Election,
    private val clock: Clock,
    private val lagMonitor: EventLoopLagMonitor,
    private val limits: DispatchLimits,
    private val metrics: Metrics,
    isWritePending: () -> Boolean,
    private val listener: AgentReplyListener,
) {
    private val queue = DispatchQueue(clock, listener)
    private val statusRequests = StatusRequests()
    private val client = AgentClient(transport, election, clock, queue, statusRequests, listener)
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

    private val fencing = StartFencing(election, clock, metrics, limits.fencingIntervalMs, isWritePending)

    /** Requests with direct commands in flight, without probes. */
    private var requestsInFlight = 0

    /** Machines that left a direct command unanswered and have not been reached since. */
    val unreachableMachines: Set<Machine> get() = queue.unreachableMachines

    /** Ends the term: replies to requests in flight are ignored. */
    fun clear() {
        client.clear()
        queue.clear()
        statusRequests.clear()
        probes.clear()
        fencing.clear()
        requestsInFlight = 0
    }

    /** Queues [machine], which has new commands, for direct sending. */
    fun enqueue(machine: Machine) = queue.enqueue(machine)

    /** Removes [machine], which has left the cluster. */
    fun remove(machine: Machine) {
        queue.remove(machine)
        statusRequests.remove(machine)
        fencing.remove(machine)
    }

    /** Has the agent of [machine] asked for its status, since a heartbeat contradicts what is known of it. */
    fun requestStatus(machine: Machine) = statusRequests.add(machine)

    /** Has the token renewed and shown to the agent of [machine], which has restarted without its state. */
    fun fenceRestart(machine: Machine) {
        fencing.recordRestart()
        machine.nextProbeAtMs = clock.steadyMs
        statusRequests.add(machine)
    }

    /** Returns the commands that the agent of [machine] has yet to carry out, see [TaskCommands.pending]. */
    fun pendingCommands(machine: Machine): List<TaskCommand> = collectPending(machine).commands

    private fun collectPending(machine: Machine): PendingCommands {
        val pending = TaskCommands.pending(machine)
        fencing.recordUnfenced(pending)
        return pending
    }

    /** Marks [machine] as reachable; commands that were lost meanwhile are sent again. */
    fun markReachable(machine: Machine) = queue.markReachable(machine)

    /** Probes [machine] if a probe is due, see [AgentProbes.probe]. */
    fun probe(machine: Machine) = probes.probe(machine)

    /** Sends pending commands, and fences direct starts when that is due. */
    fun runDueWork() {
        if (!queue.isEmpty) sendPending()
        if (!statusRequests.isEmpty) sendStatusRequests()
        fencing.runDueWork()
    }

    /** Asks the machines for their status. After a restart the question has to wait for the renewed token. */
    private fun sendStatusRequests() {
        for (machine in statusRequests.machines) {
            if (election.token > machine.numbers.restartToken) probes.probe(machine)
        }
    }

    private fun sendPending() {
        for (machine in queue.sendable()) {
            if (requestsInFlight >= limits.maxConcurrentCommands) break
            queue.dequeue(machine)
            sendCommands(machine)
        }
    }

    private fun sendCommands(machine: Machine) {
        val commands = directCommands(machine)
        if (commands.isEmpty()) return
        val token = election.token
        val hasStarts = markStarts(machine, commands, token)
        markClears(machine, commands)
        machine.isCommandInFlight = true
        requestsInFlight++
        val sentAtMs = clock.steadyMs
        client.send(machine, commands, AgentTuning.COMMAND_TIMEOUT_MS) { status ->
            machine.isCommandInFlight = false
            requestsInFlight--
            if (status == null) {
                if (hasStarts && listener.isRegistered(machine)) recordUnansweredStart(machine, token)
                // A time-out while this node lagged may be this node's own and says nothing about the machine.
                if (!lagMonitor.wasLaggingSince(sentAtMs)) queue.markUnreachable(machine)
            } else {
                handleReply(machine, status, token)
            }
            if (commands.size == AgentTuning.MAX_COMMANDS_PER_MESSAGE) enqueue(machine)
        }
    }

    private fun recordUnansweredStart(
        machine: Machine,
        token: Long,
    ) {
        // The tasks may run, on an agent that has restarted since its last message.
        machine.latestLeaseStartMs = clock.steadyMs
        fencing.recordUnansweredStart(machine, token)
    }

    /** Records that the agent of [machine] gets [commands], so that it may no longer list the attempts they clear. */
    fun markClears(
        machine: Machine,
        commands: List<TaskCommand>,
    ) {
        for (command in commands) {
            if (command.kind == CommandKind.CLEAR) machine.attempts.get(command.attempt)?.isClearSent = true
        }
    }

    /** Returns the commands to send directly. Others are left to the replies to heartbeats, which need no fence. */
    private fun directCommands(machine: Machine): List<TaskCommand> {
        val pending = collectPending(machine)
        if (mayStartDirectly(pending)) return pending.commands
        metrics.count("command.starts_left_to_heartbeat")
        return pending.commands.filter { it.kind != CommandKind.START }
    }

    /**
     * Returns whether starts may be sent directly. Not while many ended attempts wait for a fence, so that the agent's
     * list stays bounded however long the token can't be renewed. And not when another node may lead: an agent that has
     * just restarted without its state would accept the start, while its heartbeat shows the restart.
     */
    private fun mayStartDirectly(pending: PendingCommands) =
        election.hasValidLease && pending.unfencedCount < AgentTuning.MAX_UNFENCED_ATTEMPTS

    /** Records that a direct command under [token] carries the starts in [commands]; returns whether there are any. */
    private fun markStarts(
        machine: Machine,
        commands: List<TaskCommand>,
        token: Long,
    ): Boolean {
        val starts = commands.filter { it.kind == CommandKind.START }
        starts.forEach { machine.attempts.get(it.attempt)?.directStartToken = token }
        return starts.isNotEmpty()
    }

    /** Applies the [status] with which the agent of [machine] replied to a command sent under [token]. */
    private fun handleReply(
        machine: Machine,
        status: Heartbeat,
        token: Long,
    ) {
        if (listener.isRegistered(machine)) listener.onReply(machine, status)
        // The agent had already seen the renewed token and executed nothing.
        if (status.token > token && listener.isRegistered(machine)) enqueue(machine)
    }
}
