package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.agents.TaskStatusHandler
import ledgearch.model.HeartbeatOrder
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.wire.Heartbeat
import org.slf4j.LoggerFactory

/**
 * Heartbeats that contradict what is known of a confirmed machine: late duplicates, or those of an agent that has
 * restarted without its state. They change nothing; the agent is asked, and its reply to the command tells which it is.
 */
internal class HeartbeatConflicts(
    private val taskStatusHandler: TaskStatusHandler,
    private val dispatcher: CommandDispatcher,
    private val metrics: Metrics,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Returns whether [heartbeat] contradicts what is known of [machine]. */
    fun isIn(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean =
        machine.isConfirmed &&
            when (machine.numbers.orderOf(heartbeat, clock.steadyMs)) {
                HeartbeatOrder.CONFLICTING -> true
                HeartbeatOrder.CROSSED -> false
                HeartbeatOrder.NEWER -> isLackingAttempts(machine, heartbeat)
            }

    private fun isLackingAttempts(
        machine: Machine,
        heartbeat: Heartbeat,
    ) = heartbeat.incarnation == machine.numbers.incarnation &&
        taskStatusHandler.lacksAttempts(machine, heartbeat.tasks)

    /**
     * Has the agent of [machine] asked for its status because of [heartbeat]. The reply to a late duplicate reaches
     * nobody, and that to an agent that has restarted has no effect, so neither renews a lease. Once the restart is
     * known, the reply renews the lease of the tasks that run since.
     */
    fun handle(
        machine: Machine,
        heartbeat: Heartbeat,
    ): HeartbeatResult {
        metrics.count("heartbeat.conflicting")
        log.debug(
            "heartbeat conflicts with what is known; machine={} incarnation={} sequence={} token={} tasks={}",
            machine.name,
            heartbeat.incarnation,
            heartbeat.sequence,
            heartbeat.token,
            heartbeat.tasks.size,
        )
        dispatcher.requestStatus(machine)
        if (!machine.numbers.isRestartPending) return HeartbeatResult.Disregarded
        machine.latestLeaseStartMs = clock.steadyMs
        machine.lastMessageAtMs = clock.steadyMs
        machine.lastHeartbeatAtMs = clock.steadyMs
        return HeartbeatResult.NO_COMMANDS
    }
}
