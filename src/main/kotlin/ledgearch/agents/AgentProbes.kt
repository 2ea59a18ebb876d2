package ledgearch.agents

import ledgearch.model.Machine
import ledgearch.runtime.Clock
import ledgearch.runtime.StallCompensation

/** Sends agents direct commands without content: they carry the leader's token, and answers are signs of life. */
internal class AgentProbes(
    private val client: AgentClient,
    private val queue: DispatchQueue,
    private val probesAtOnce: Int,
    /** ms within which every agent sends a heartbeat by itself. */
    private val heartbeatDueMs: Long,
    private val stalls: StallCompensation,
    private val clock: Clock,
    private val listener: AgentReplyListener,
) {
    private var underWay = 0

    /** The term has ended: answers that are still under way are ignored. */
    fun clear() {
        underWay = 0
    }

    /**
     * Sends the token to a machine that is not known to follow it, or checks whether one that is overdue answers;
     * nothing when a command is under way, the next probe is not due or too many are under way.
     */
    fun probe(machine: Machine) {
        if (machine.commandInFlight || clock.steadyMs < machine.probeAt || underWay >= probesAtOnce) return
        if (!machine.confirmed && sendsHeartbeatByItself(machine)) return
        send(machine)
    }

    private fun send(machine: Machine) {
        machine.commandInFlight = true
        machine.probeAt = clock.steadyMs + intervalMs(machine.probesFailed)
        underWay++
        val sentAt = clock.steadyMs
        val incarnation = machine.incarnation
        client.send(machine, emptyList(), intervalMs(machine.probesFailed + 1)) { status ->
            machine.commandInFlight = false
            underWay--
            if (status == null) {
                failed(machine, sentAt)
                return@send
            }
            if (listener.isCurrent(machine)) listener.replied(machine, status)
            // An agent in another incarnation than the one named has not accepted the token; its answer names the right
            // one, so the token is sent once more at once.
            if (listener.isCurrent(machine) && !machine.confirmed && machine.incarnation != incarnation) {
                sendAgain(machine)
            }
        }
    }

    private fun sendAgain(machine: Machine) {
        if (!machine.commandInFlight) send(machine)
    }

    /** A time-out of our own, while this node was behind with its work, says nothing about the machine. */
    private fun failed(
        machine: Machine,
        sentAt: Long,
    ) {
        machine.probeUnanswered(sentAt)
        if (stalls.wasLaggingSince(sentAt)) return
        machine.probesFailed++
        if (!machine.confirmed) queue.markUnreachable(machine)
    }

    /** ms. Hundreds that stay silent for long, in a zone that is cut off, are probed more and more seldom. */
    private fun intervalMs(probesFailed: Int): Long {
        val pauses = (probesFailed - AgentTuning.PROBES).coerceIn(0, AgentTuning.MOST_PROBE_PAUSES)
        return AgentTuning.PROBE_MS * (1 + pauses)
    }

    /**
     * A machine that a new leader has just read sends a heartbeat within an interval, and the answer renews its lease,
     * as that of a probe does not. While this node does not keep up, probes would only delay the answers to heartbeats.
     * A machine that was being returned is most likely gone.
     */
    private fun sendsHeartbeatByItself(machine: Machine) =
        stalls.isLagging &&
            machine.inherited &&
            !machine.returningHint &&
            clock.steadyMs - machine.knownSince < heartbeatDueMs
}
