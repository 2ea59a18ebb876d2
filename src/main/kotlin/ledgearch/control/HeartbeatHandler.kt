package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.wire.CommandKind
import ledgearch.wire.Heartbeat
import ledgearch.wire.TaskCommand

/** The result of a heartbeat, which determines the reply. */
internal sealed interface HeartbeatResult {
    /** This node is not the leader. */
    data object NotLeader : HeartbeatResult

    /**
     * The heartbeat is a late duplicate, or its agent has restarted without its state. The reply must have no effect:
     * an agent that has restarted is asked for its status first.
     */
    data object Disregarded : HeartbeatResult

    /** The reply carries the leader's token and [commands]. */
    class Accepted(
        val commands: List<TaskCommand>,
    ) : HeartbeatResult

    companion object {
        /** The reply carries the leader's token and no commands. */
        val NO_COMMANDS = Accepted(emptyList())
    }
}

/** Receives all messages of agents, rejects fenced and conflicting ones, and replies to heartbeats with commands. */
internal class HeartbeatHandler(
    private val machineRegistry: MachineRegistry,
    private val recordLoader: RecordLoader,
    private val failover: Failover,
    private val machineAdmission: MachineAdmission,
    private val statusHandler: AgentStatusHandler,
    private val dispatcher: CommandDispatcher,
    private val election: Election,
    private val conflicts: HeartbeatConflicts,
    private val agentRestarts: AgentRestarts,
    private val clock: Clock,
) {
    /** Applies [heartbeat] and returns the commands for its agent. */
    fun handle(heartbeat: Heartbeat): HeartbeatResult {
        if (isFenced(heartbeat)) return HeartbeatResult.NotLeader
        if (!recordLoader.areMachinesLoaded) return HeartbeatResult.NO_COMMANDS
        val machine =
            machineRegistry.machines[heartbeat.machine] ?: machineAdmission.admit(heartbeat)
                ?: return HeartbeatResult.NO_COMMANDS
        if (conflicts.isIn(machine, heartbeat)) return conflicts.handle(machine, heartbeat)
        // The reply may renew the agent's lease. This includes a machine being released: until the release is done its
        // tasks may run there and must be stopped like any others.
        machine.latestLeaseStartMs = clock.steadyMs
        if (heartbeat.token < machine.numbers.token) dispatcher.requestStatus(machine)
        statusHandler.apply(machine, heartbeat, StatusSource.HEARTBEAT)
        if (!failover.isReady || machine.numbers.isRestartPending) return HeartbeatResult.NO_COMMANDS
        return HeartbeatResult.Accepted(collectCommands(machine, heartbeat))
    }

    /**
     * Returns the pending commands of [machine] and records on its starts that the reply to [heartbeat] carries them.
     * The agent executes or drops the commands before its next heartbeat.
     */
    private fun collectCommands(
        machine: Machine,
        heartbeat: Heartbeat,
    ): List<TaskCommand> {
        val commands = dispatcher.pendingCommands(machine)
        dispatcher.markClears(machine, commands)
        for (command in commands) {
            if (command.kind != CommandKind.START) continue
            val attempt = machine.attempts.get(command.attempt) ?: continue
            attempt.startHeartbeatSequence = maxOf(attempt.startHeartbeatSequence, heartbeat.sequence)
        }
        return commands
    }

    /** Returns whether the agent has seen the token of a newer leader; if so, ends this node's leadership. */
    private fun isFenced(status: Heartbeat): Boolean {
        if (status.token <= election.token) return false
        election.loseLeadership("an agent has seen the higher fencing token ${status.token}")
        return true
    }

    /** Applies the [status] with which the agent of [machine] replied to a direct command. */
    fun handleReply(
        machine: Machine,
        status: Heartbeat,
    ) {
        if (isFenced(status)) return
        statusHandler.apply(machine, status, StatusSource.COMMAND_REPLY)
    }

    /** Records that the agent of [machine] has restarted without its state, as the [status] in its reply shows. */
    fun handleRestart(
        machine: Machine,
        status: Heartbeat,
    ) {
        if (isFenced(status)) return
        agentRestarts.onRestarted(machine, status.incarnation)
    }
}
