package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.agents.LeaseExpiryListener
import ledgearch.agents.TaskStatusHandler
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.wire.Heartbeat
import org.slf4j.LoggerFactory

/** How an agent's status message reached the leader. */
internal enum class StatusSource {
    /** Sent by the agent on its own schedule; a delayed duplicate of it may arrive later. */
    HEARTBEAT,

    /** Returned in reply to a direct command, so it was made after the command was sent. */
    COMMAND_REPLY,
}

/**
 * Applies the agents' status messages to their machines: incarnation, time of the last message, fencing token,
 * confirmation, tasks and preemption notice.
 */
internal class AgentStatusHandler(
    private val term: LeadershipTerm,
    private val failover: Failover,
    private val election: Election,
    private val dispatcher: CommandDispatcher,
    private val machineConfirmation: MachineConfirmation,
    private val taskStatusHandler: TaskStatusHandler,
    private val agentRestarts: AgentRestarts,
    private val preemptionNotices: PreemptionNotices,
    private val placementLoop: PlacementLoop,
    private val clock: Clock,
) : LeaseExpiryListener {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /**
     * Applies [status] to [machine]. A heartbeat must not conflict with what is known of a confirmed machine; one that
     * is not newer than the last applied message updates only the times.
     */
    fun apply(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) {
        if (machine.isConfirmed) applyConfirmed(machine, status, source) else applyUnconfirmed(machine, status, source)
    }

    /** Nothing in a message that does not confirm the machine is certain: it may be from an earlier leader's term. */
    private fun applyUnconfirmed(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) {
        machine.numbers.assumeIncarnation(status.incarnation)
        recordTimes(machine, status, source, isCurrent = isCurrent(status, source))
        if (!confirmsToken(machine, status, source)) return
        machine.numbers.confirm(status)
        machineConfirmation.confirm(machine)
        applyNewer(machine, status)
    }

    private fun applyConfirmed(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) {
        val numbers = machine.numbers
        if (status.incarnation < numbers.incarnation) return
        if (status.incarnation > numbers.incarnation) beginIncarnation(machine, status.incarnation)
        // The agent's lease began with its incarnation, or with a restart that its numbers don't show, before this
        // message and perhaps without a reply from this node.
        if (numbers.sequence == 0L || source == StatusSource.COMMAND_REPLY) machine.latestLeaseStartMs = clock.steadyMs
        if (source == StatusSource.HEARTBEAT) recordTimes(machine, status, source, isCurrent = true)
        if (!numbers.isNewer(status)) return
        if (source == StatusSource.COMMAND_REPLY && taskStatusHandler.lacksAttempts(machine, status.tasks)) {
            agentRestarts.onRestarted(machine, status.incarnation)
        }
        if (!machine.isUnreachable) machine.consecutiveFailedProbes = 0
        applyNewer(machine, status)
        agentRestarts.endIfFenced(machine)
    }

    private fun applyNewer(
        machine: Machine,
        status: Heartbeat,
    ) {
        machine.numbers.record(status, clock.steadyMs)
        machine.lastMessageAtMs = clock.steadyMs
        preemptionNotices.update(machine, status)
        updateToken(machine, status.token)
        taskStatusHandler.reconcile(machine, status.tasks)
        preemptionNotices.evacuate(machine)
    }

    /**
     * Returns whether [status] counts as current. Until the machine has confirmed the token, a heartbeat with a lower
     * token may be a duplicate from an earlier leader's term.
     */
    private fun isCurrent(
        status: Heartbeat,
        source: StatusSource,
    ) = source != StatusSource.HEARTBEAT || status.token >= term.firstToken

    private fun recordTimes(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
        isCurrent: Boolean,
    ) {
        val isNewHeartbeat =
            source == StatusSource.HEARTBEAT && machine.numbers.recordHeartbeat(status, clock.steadyMs)
        if (!isCurrent) return
        if (isNewHeartbeat) machine.lastHeartbeatAtMs = clock.steadyMs
        if (isNewHeartbeat || source == StatusSource.COMMAND_REPLY) machine.lastMessageAtMs = clock.steadyMs
    }

    /** Records the agent's token. From then on the agent executes no start that was sent under an earlier one. */
    private fun updateToken(
        machine: Machine,
        token: Long,
    ) {
        if (!machine.numbers.recordToken(token)) return
        if (token == election.token && machine.isConfirmed) dispatcher.markReachable(machine)
    }

    /**
     * Returns whether [status] confirms the term's token. For a machine without a record only a command reply does: its
     * heartbeat may be a duplicate from a machine that is gone.
     */
    private fun confirmsToken(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) = status.token >= term.firstToken && failover.isReady &&
        (source != StatusSource.HEARTBEAT || machine.isInherited)

    /**
     * Begins [incarnation] of the agent of [machine] and ends all attempts of the previous one. An agent executes no
     * command that was sent to an earlier incarnation, but after a restart the same numbers come again.
     */
    private fun beginIncarnation(
        machine: Machine,
        incarnation: Long,
    ) {
        if (machine.attempts.isNotEmpty()) {
            log.info(
                "agent started a new incarnation; machine={} incarnation={} tasksLost={}",
                machine.name,
                incarnation,
                machine.attempts.size,
            )
        }
        if (machine.numbers.isRestartPending) {
            taskStatusHandler.removeEnded(machine)
        } else {
            taskStatusHandler.removeAll(machine)
        }
        machine.numbers.beginIncarnation(incarnation)
        placementLoop.requestPass()
    }

    /** Called when the agent's lease has expired: the agent has then ended its tasks and its incarnation by itself. */
    override fun onLeaseExpired(machine: Machine) = beginIncarnation(machine, machine.numbers.incarnation + 1)
}
