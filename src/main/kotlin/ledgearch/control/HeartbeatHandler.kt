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

/** What a heartbeat is answered with: commands, or that this node does not lead. */
@JvmInline
internal value class HeartbeatResult private constructor(
    private val commandsIfLeader: List<TaskCommand>?,
) {
    /** This node may not answer for the cluster; there are no commands. */
    val isNotLeader: Boolean get() = commandsIfLeader == null

    /** The commands for the agent, empty without any. */
    val commands: List<TaskCommand> get() = commandsIfLeader.orEmpty()

    companion object {
        /** This node may not answer for the cluster. */
        val NOT_LEADER get() = HeartbeatResult(null)

        /** The agent has nothing to do at present. */
        val NO_COMMANDS get() = HeartbeatResult(emptyList())

        /** The agent is to carry out [commands]. */
        fun of(commands: List<TaskCommand>) = HeartbeatResult(commands)
    }
}

/** The receiving end of all messages of agents: it checks tokens and copies, and answers heartbeats with commands. */
internal class HeartbeatHandler(
    private val registry: MachineRegistry,
    private val loader: RecordLoader,
    private val failover: Failover,
    private val admission: MachineAdmission,
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
        if (!loader.machinesRead) return HeartbeatResult.NO_COMMANDS
        val machine = registry.machines[heartbeat.machine] ?: admission.admit(heartbeat)
        // The answer to a late copy reaches no agent that would accept it, so it renews no lease, and the content of
        // the copy is old.
        if (machine == null || isLateCopy(machine, heartbeat)) return HeartbeatResult.NO_COMMANDS
        // Every other answer may renew the agent's lease, also that of a machine being released: until the release is
        // carried out, its tasks are on it and must be stopped like any others.
        machine.lastAnsweredAt = clock.steadyMs
        statusHandler.apply(machine, heartbeat, StatusSource.HEARTBEAT)
        if (heartbeat.incarnation != machine.incarnation || !failover.ready) return HeartbeatResult.NO_COMMANDS
        return HeartbeatResult.of(commandsInReplyTo(machine, heartbeat))
    }

    /** The commands are carried out or dropped before the agent's next heartbeat. */
    private fun commandsInReplyTo(
        machine: Machine,
        heartbeat: Heartbeat,
    ): List<TaskCommand> {
        val commands = dispatcher.pendingCommands(machine)
        for (command in commands) {
            if (command.kind != CommandKind.START) continue
            val attempt = machine.attempts.get(command.attempt) ?: continue
            attempt.sentInReplyTo = maxOf(attempt.sentInReplyTo, heartbeat.sequence)
        }
        return commands
    }

    /** An agent that has seen a higher token follows a newer leader: this node's term is over. */
    private fun isFenced(status: Heartbeat): Boolean {
        if (status.token <= election.token) return false
        election.loseLeadership("an agent has seen the higher fencing token ${status.token}")
        return true
    }

    /** An agent waits for the answer to its last heartbeat only, and not for long. */
    private fun isLateCopy(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        if (heartbeat.incarnation != machine.incarnation) return heartbeat.incarnation < machine.incarnation
        if (heartbeat.sequence != machine.heartbeatSequence) return heartbeat.sequence < machine.heartbeatSequence
        return clock.steadyMs - machine.heartbeatFirstSeenAt > ControlTuning.ANSWER_AWAITED_MS
    }

    /** The agent of [machine] has answered a direct command with [status]. */
    fun replied(
        machine: Machine,
        status: Heartbeat,
    ) {
        if (isFenced(status)) return
        statusHandler.apply(machine, status, StatusSource.COMMAND_REPLY)
    }

    /**
     * The agent of [machine] has restarted without its state. Nothing that it sends from now on can be told from late
     * copies of what it sent before, since its numbers start again too: the machine is not used any more. What ran
     * there is free once the machine is returned.
     */
    fun lostItsState(machine: Machine) {
        if (machine.releasing) return
        log.warn("machine released: its agent restarted without its state; machine={}", machine.name)
        autoscaler.release(machine)
    }
}
