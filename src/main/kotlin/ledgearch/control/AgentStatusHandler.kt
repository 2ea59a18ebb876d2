package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.agents.LeaseExpiryListener
import ledgearch.agents.TaskStatusHandler
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.wire.Heartbeat
import org.slf4j.LoggerFactory

/** How a status message of an agent has come. */
internal enum class StatusSource {
    /** Sent by the agent by itself: a copy of it may come late. */
    HEARTBEAT,

    /** The agent's answer to a direct command, made after the command was sent. */
    COMMAND_REPLY,
}

/**
 * What the agents' status messages say of their machines: incarnation, time of the last message, fencing token,
 * confirmation, tasks and preemption notice.
 */
internal class AgentStatusHandler(
    private val term: LeadershipTerm,
    private val failover: Failover,
    private val election: Election,
    private val dispatcher: CommandDispatcher,
    private val confirmation: MachineConfirmation,
    private val tasks: TaskStatusHandler,
    private val notices: PreemptionNotices,
    private val placement: PlacementLoop,
    private val clock: Clock,
) : LeaseExpiryListener {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Applies [status] to [machine]; a message older than what is known changes nothing but the times. */
    fun apply(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) {
        if (status.incarnation < machine.incarnation) return
        if (status.incarnation > machine.incarnation) beginIncarnation(machine, status.incarnation)
        // The first message of an incarnation: it began before, and its lease runs from then on in full without any
        // answer of this node.
        if (machine.sequence == 0L) machine.lastAnsweredAt = clock.steadyMs
        val current = isCurrent(machine, status, source)
        if (source == StatusSource.HEARTBEAT) updateHeartbeatTimes(machine, status, current)
        if (status.sequence <= machine.sequence) return
        machine.sequence = status.sequence
        if (current) machine.lastHeardAt = clock.steadyMs
        if (!machine.unreachable && machine.confirmed) machine.probesFailed = 0
        notices.update(machine, status)
        updateToken(machine, status.token)
        if (!machine.confirmed) {
            if (!confirms(machine, status, source)) return
            confirmation.confirm(machine)
        }
        tasks.reconcile(machine, status.tasks)
        notices.evacuate(machine)
    }

    /**
     * Of a machine that has not confirmed the token, a heartbeat without it may be a copy as old as a former leader.
     */
    private fun isCurrent(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) = source != StatusSource.HEARTBEAT || machine.confirmed || status.token >= term.firstToken

    private fun updateHeartbeatTimes(
        machine: Machine,
        heartbeat: Heartbeat,
        current: Boolean,
    ) {
        if (heartbeat.sequence <= machine.heartbeatSequence) return
        machine.heartbeatSequence = heartbeat.sequence
        machine.heartbeatSentAfter = machine.heartbeatFirstSeenAt
        machine.heartbeatFirstSeenAt = clock.steadyMs
        if (current) {
            machine.lastHeardAt = clock.steadyMs
            machine.lastHeartbeatAt = clock.steadyMs
        }
    }

    /** A start sent under an earlier token that was never answered can't be carried out any more. */
    private fun updateToken(
        machine: Machine,
        token: Long,
    ) {
        if (token <= machine.token) return
        machine.token = token
        if (token == election.token && machine.confirmed) dispatcher.markReachable(machine)
        for (attempt in machine.attempts.values) {
            if (attempt.unacknowledgedToken in 1 until machine.token) attempt.unacknowledgedToken = 0
        }
    }

    /**
     * Whether [status] confirms the term's token. A machine without a record is sent the token directly first: its
     * heartbeat may be a copy, and the machine gone.
     */
    private fun confirms(
        machine: Machine,
        status: Heartbeat,
        source: StatusSource,
    ) = status.token >= term.firstToken && failover.ready &&
        (source != StatusSource.HEARTBEAT || machine.inherited)

    /** The agent of [machine] has started a new incarnation: all attempts of the one before are gone. */
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
        tasks.removeAll(machine)
        machine.incarnation = incarnation
        machine.sequence = 0
        machine.heartbeatSequence = 0
        placement.requestPass()
    }

    /** An agent whose lease expires ends its tasks and its incarnation, whether or not anything is received of it. */
    override fun leaseExpired(machine: Machine) = beginIncarnation(machine, machine.incarnation + 1)
}
