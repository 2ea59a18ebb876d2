package ledgearch.control

import ledgearch.agents.CommandDispatcher
import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.scheduling.Placer
import org.slf4j.LoggerFactory

/**
 * Keeps machines in use whose agents have restarted without their state: no tasks, and numbers and token that begin
 * anew.
 *
 * Until such an agent shows a token that was created after the restart was recognized, late duplicates from before look
 * newer than its own heartbeats, late commands from before can still be executed, and a deposed leader's commands too.
 * So the leader renews its token, which also proves that it still leads, and shows it to the agent. Until then it
 * starts nothing there, relies on replies to commands alone, and keeps the attempts that were started directly under
 * the old token.
 */
internal class AgentRestarts(
    private val election: Election,
    private val dispatcher: CommandDispatcher,
    private val placer: Placer,
    private val placementLoop: PlacementLoop,
    private val metrics: Metrics,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.control")

    /** Records that the agent of [machine] has restarted and is in [incarnation] now, by its reply to a command. */
    fun onRestarted(
        machine: Machine,
        incarnation: Long,
    ) {
        metrics.count("agent.restarted")
        log.warn(
            "agent restarted without its state; machine={} incarnation={} tasksLost={}",
            machine.name,
            incarnation,
            machine.attempts.values.count { it.isReported && !it.isExited },
        )
        machine.recordAgentRestart(incarnation, election.token)
        machine.latestLeaseStartMs = clock.steadyMs
        machine.lastHeartbeatAtMs = clock.steadyMs
        dispatcher.fenceRestart(machine)
        updatePlacement()
    }

    /** Puts [machine] into service again once its agent has shown a token from after the restart. */
    fun endIfFenced(machine: Machine) {
        val numbers = machine.numbers
        if (!numbers.isRestartPending) return
        if (numbers.token <= numbers.restartToken) return dispatcher.requestStatus(machine)
        numbers.endRestart()
        dispatcher.enqueue(machine)
        updatePlacement()
    }

    private fun updatePlacement() {
        placer.updateMachines()
        placementLoop.requestPass()
    }
}
