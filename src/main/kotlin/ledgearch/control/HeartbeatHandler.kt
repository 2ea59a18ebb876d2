package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.autoscaling.Autoscaler
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.wire.CommandKind
import ledgearch.wire.Heartbeat
import ledgearch.wire.TaskCommand
import org.slf4j.LoggerFactory

/** The reply to a heartbeat: commands for the agent, or that this node is not the leader. */
@JvmInline
internal value class HeartbeatResult private constructor(
    private val commandsIfLeader: List<TaskCommand>?,
) {
    /** Whether this node is not the leader; there are no commands then. */
    val isNotLeader: Boolean get() = commandsIfLeader == null

    /** The commands for the agent; may be empty. */
    val commands: List<TaskCommand> get() = commandsIfLeader.orEmpty()

    companion object {
        /** This node is not the leader. */
        val NOT_LEADER get() = HeartbeatResult(null)

        /** There are no commands for the agent. */
        val NO_COMMANDS get() = HeartbeatResult(emptyList())

        /** Returns a result with [commands] for the agent. */
        fun of(commands: List<TaskCommand>) = HeartbeatResult(commands)
    }
}

/** Receives all messages of agents, rejects fenced and duplicate ones, and replies to heartbeats with commands. */
internal class HeartbeatHandler(
    private val machineRegistry: MachineRegistry,
    private val recordLoader: RecordLoader,
    private val failover: Failover,
    private val machineAdmission: MachineAdmission,
    private val statusHandler: AgentStatusHandler,
    private val dispatcher: CommandDispatcher,
    private val election: Election,
    private val autoscaler: Autoscaler,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Applies [heartbeat] and returns the commands for its agent. */
    fun handle(heartbeat: Heartbeat): HeartbeatResult {
        if (isFenced(heartbeat)) return HeartbeatResult.NOT_LEADER
        if (!recordLoader.areMachinesLoaded) return HeartbeatResult.NO_COMMANDS
        val machine = machineRegistry.machines[heartbeat.machine] ?: machineAdmission.admit(heartbeat)
        // No agent accepts a reply to a late duplicate, so it renews no lease, and the duplicate's content is old.
        if (machine == null || isLateDuplicate(machine, heartbeat)) return HeartbeatResult.NO_COMMANDS
        // Every other reply may renew the agent's lease. This includes a machine being released: until the release
        // is done its tasks may run there and must be stopped like any others.
        machine.lastReplyAtMs = clock.steadyMs
        statusHandler.apply(machine, heartbeat, StatusSource.HEARTBEAT)
        if (heartbeat.incarnation != machine.incarnation || !failover.isReady) return HeartbeatResult.NO_COMMANDS
        return HeartbeatResult.of(collectCommands(machine, heartbeat))
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

    /** Returns whether the agent no longer accepts a reply: it does so only to its last heartbeat, for 4 s. */
    private fun isLateDuplicate(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        if (heartbeat.incarnation != machine.incarnation) return heartbeat.incarnation < machine.incarnation
        if (heartbeat.sequence != machine.heartbeatSequence) return heartbeat.sequence < machine.heartbeatSequence
        return clock.steadyMs - machine.heartbeatFirstSeenAtMs > ControlTuning.HEARTBEAT_REPLY_TIMEOUT_MS
    }

    /** Applies the [status] with which the agent of [machine] replied to a direct command. */
    fun handleReply(
        machine: Machine,
        status: Heartbeat,
    ) {
        if (isFenced(status)) return
        statusHandler.apply(machine, status, StatusSource.COMMAND_REPLY)
    }

    /**
     * Releases [machine], whose agent has restarted without its state. The agent's sequence numbers start again, so its
     * new messages can't be distinguished from late duplicates of old ones. The tasks that ran there are pending again
     * once the machine is gone.
     */
    fun handleStateLoss(machine: Machine) {
        if (machine.isReleasing) return
        log.warn("machine released: its agent restarted without its state; machine={}", machine.name)
        autoscaler.release(machine)
    }
}
