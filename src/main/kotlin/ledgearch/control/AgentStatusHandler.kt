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
    private val preemptionNotices: PreemptionNotices,
    private val placementLoop: PlacementLoop,
    private val clock: Clock,
) : LeaseExpiryListener {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /**
     * Applies [status] to [machine]. A message of an earlier incarnation is ignored; one that is not newer than the
     * last applied message updates only the times.
     */
    fun apply(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) {
        if (status.incarnation < machine.incarnation) return
        if (status.incarnation > machine.incarnation) beginIncarnation(machine, status.incarnation)
        // First message of an incarnation. The agent's lease began with the incarnation, before this message and
        // without a reply from this node.
        if (machine.lastSequence == 0L) machine.lastReplyAtMs = clock.steadyMs
        val isCurrent = countsAsCurrent(machine, status, source)
        if (source == StatusSource.HEARTBEAT) updateHeartbeatTimes(machine, status, isCurrent)
        if (status.sequence <= machine.lastSequence) return
        machine.lastSequence = status.sequence
        if (isCurrent) machine.lastMessageAtMs = clock.steadyMs
        if (!machine.isUnreachable && machine.isConfirmed) machine.consecutiveFailedProbes = 0
        preemptionNotices.update(machine, status)
        updateToken(machine, status.token)
        if (!machine.isConfirmed) {
            if (!confirmsToken(machine, status, source)) return
            machineConfirmation.confirm(machine)
        }
        taskStatusHandler.reconcile(machine, status.tasks)
        preemptionNotices.evacuate(machine)
    }

    /**
     * Returns whether [status] counts as current. Until the machine has confirmed the token, a heartbeat with a lower
     * token may be a duplicate from an earlier leader's term.
     */
    private fun countsAsCurrent(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) = source != StatusSource.HEARTBEAT || machine.isConfirmed || status.token >= term.firstToken

    private fun updateHeartbeatTimes(
        machine: Machine,
        heartbeat: Heartbeat,
        isCurrent: Boolean,
    ) {
        if (heartbeat.sequence <= machine.heartbeatSequence) return
        machine.heartbeatSequence = heartbeat.sequence
        machine.heartbeatSentAfterMs = machine.heartbeatFirstSeenAtMs
        machine.heartbeatFirstSeenAtMs = clock.steadyMs
        if (isCurrent) {
            machine.lastMessageAtMs = clock.steadyMs
            machine.lastHeartbeatAtMs = clock.steadyMs
        }
    }

    /** Records the agent's token. From then on the agent executes no start that was sent under an earlier one. */
    private fun updateToken(
        machine: Machine,
        token: Long,
    ) {
        if (token <= machine.highestSeenToken) return
        machine.highestSeenToken = token
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

    /** Begins [incarnation] of the agent of [machine] and ends all attempts of the previous one. */
    private fun beginIncarnation(
        machine: Machine,
        incarnation: Long,
    ) {
        if (machine.incarnation != 0L && machine.attempts.isNotEmpty()) {
            log.info(
                "agent started a new incarnation; machine={} incarnation={} tasksLost={}",
                machine.name,
                incarnation,
                machine.attempts.size,
            )
        }
        taskStatusHandler.removeAll(machine)
        machine.incarnation = incarnation
        machine.lastSequence = 0
        machine.heartbeatSequence = 0
        placementLoop.requestPass()
    }

    /** Called when the agent's lease has expired: the agent has then ended its tasks and its incarnation by itself. */
    override fun onLeaseExpired(machine: Machine) = beginIncarnation(machine, machine.incarnation + 1)
}
