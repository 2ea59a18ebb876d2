package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.runtime.EventLoopLagMonitor

/** Probes agents with empty command requests, which carry the leader's token; agents reply with their status. */
internal class AgentProbes(
    private val client: AgentClient,
    private val queue: DispatchQueue,
    private val maxConcurrentProbes: Int,
    /** Longest time between two heartbeats of a healthy agent. */
    private val maxHeartbeatIntervalMs: Long,
    private val lagMonitor: EventLoopLagMonitor,
    private val clock: Clock,
    private val listener: AgentReplyListener,
) {
    private var probesInFlight = 0

    /** Ends the term: replies to probes in flight are ignored. */
    fun clear() {
        probesInFlight = 0
    }

    /**
     * Sends the token to an unconfirmed [machine], or checks whether an overdue one replies. Does nothing while a
     * command to the machine is in flight, before its next probe is due, or while too many probes are in flight.
     */
    fun probe(machine: Machine) {
        if (machine.isCommandInFlight || clock.steadyMs < machine.nextProbeAtMs ||
            probesInFlight >= maxConcurrentProbes
        ) {
            return
        }
        if (!machine.isConfirmed && isHeartbeatExpected(machine)) return
        send(machine)
    }

    private fun send(machine: Machine) {
        machine.isCommandInFlight = true
        machine.nextProbeAtMs = clock.steadyMs + intervalMs(machine.consecutiveFailedProbes)
        probesInFlight++
        val sentAtMs = clock.steadyMs
        val incarnation = machine.numbers.incarnation
        client.send(machine, emptyList(), intervalMs(machine.consecutiveFailedProbes + 1)) { status ->
            machine.isCommandInFlight = false
            probesInFlight--
            if (status == null) {
                recordFailure(machine, sentAtMs)
                return@send
            }
            if (listener.isRegistered(machine)) listener.onReply(machine, status)
            // An agent rejects a token sent for another incarnation than its own. Its reply contains the right
            // incarnation, so the token is sent again at once.
            if (listener.isRegistered(machine) && !machine.isConfirmed && machine.numbers.incarnation != incarnation) {
                resend(machine)
            }
        }
    }

    private fun resend(machine: Machine) {
        if (!machine.isCommandInFlight) send(machine)
    }

    /** Counts an unanswered probe; one that timed out while this node lagged does not count as a failure. */
    private fun recordFailure(
        machine: Machine,
        sentAtMs: Long,
    ) {
        machine.recordUnansweredProbe(sentAtMs)
        if (lagMonitor.wasLaggingSince(sentAtMs)) return
        machine.consecutiveFailedProbes++
        if (!machine.isConfirmed) queue.markUnreachable(machine)
    }

    /** Returns the time until the next probe, which grows with failures: a partition can cut off hundreds of agents. */
    private fun intervalMs(probesFailed: Int): Long {
        val addedIntervals =
            (probesFailed - AgentTuning.FAILED_PROBES_FOR_RELEASE).coerceIn(0, AgentTuning.MAX_ADDED_PROBE_INTERVALS)
        return AgentTuning.PROBE_INTERVAL_MS * (1 + addedIntervals)
    }

    /**
     * Returns whether to wait for a heartbeat of an inherited [machine] instead of probing it. The reply to a heartbeat
     * renews the agent's lease, a probe does not; and while this node lags, probes would only delay its replies to
     * heartbeats. A machine that was being returned is not waited for, since it is most likely gone.
     */
    private fun isHeartbeatExpected(machine: Machine) =
        lagMonitor.isLagging &&
            machine.isInherited &&
            !machine.isReturningHint &&
            clock.steadyMs - machine.knownSinceMs < maxHeartbeatIntervalMs
}
