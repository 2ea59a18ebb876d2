package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.StallCompensation

/**
 * Inherited machines that are most likely gone already. Every older job waits for each of them, so they are released
 * sooner than a silent machine would be otherwise. A release proves that a machine is gone; what is decided here only
 * chooses which machines to return.
 */
internal class MissingMachines(
    private val election: Election,
    private val stalls: StallCompensation,
    /** ms. Within it every agent would have sent a heartbeat by itself. */
    private val heartbeatWithinMs: Long,
) {
    /** [machine] may be missing: without such a machine [among] finds none. */
    fun isCandidate(machine: Machine): Boolean = machine.inherited && isUnconfirmed(machine)

    /** Those of [inherited] that are missing; machines of zones that may come back are left out of [inherited]. */
    fun among(inherited: List<Machine>): List<Machine> {
        if (inherited.none(::isUnconfirmed)) return emptyList()
        val confirmed = inherited.count { it.confirmed }
        if (!receivesEnough(confirmed, inherited.size)) return emptyList()
        val mostConfirmed = confirmed > inherited.size * RecoveryTuning.MAJORITY_SHARE
        val others = ConfirmedHeartbeats(inherited)
        return inherited.filter { isUnconfirmed(it) && isMissing(it, others, mostConfirmed) }
    }

    private fun isUnconfirmed(machine: Machine) = !machine.confirmed && !machine.releasing

    private fun isMissing(
        machine: Machine,
        others: ConfirmedHeartbeats,
        mostConfirmed: Boolean,
    ): Boolean {
        if (machine.probesFailed >= AgentTuning.PROBES) return true
        return mostConfirmed && (wasBeingReturned(machine) || isPassedByOthers(machine, others))
    }

    private fun wasBeingReturned(machine: Machine) = machine.returningHint && machine.probesUnanswered > 0

    /**
     * While this node does not keep up, a probe that timed out proves nothing by itself: its answer may wait here
     * unread. But messages are read in the order in which they come, and most other machines sent heartbeats after
     * [machine] was probed, which have been read. Without this a node that never quite keeps up would wait for a
     * machine that is gone until its silence was long enough for any machine.
     */
    private fun isPassedByOthers(
        machine: Machine,
        others: ConfirmedHeartbeats,
    ): Boolean {
        if (machine.probesUnanswered < AgentTuning.PROBES) return false
        if (machine.heartbeatFirstSeenAt > machine.unansweredSince) return false
        return others.areMostSentAfter(machine.unansweredSince)
    }

    /**
     * Where most machines are missing, it takes the time in which every agent would have sent a heartbeat by itself to
     * tell that it is not this node, and some machines that it receives.
     */
    private fun receivesEnough(
        confirmed: Int,
        all: Int,
    ) = confirmed > all * RecoveryTuning.MAJORITY_SHARE ||
        (
            confirmed > all * AgentTuning.RECEIVED_SHARE &&
                stalls.attentiveMsSince(election.electedAt) > heartbeatWithinMs
        )

    /**
     * When the confirmed machines among [inherited] sent their last heartbeats, sorted once and only if it is asked.
     */
    private class ConfirmedHeartbeats(
        private val inherited: List<Machine>,
    ) {
        private val times by lazy(LazyThreadSafetyMode.NONE) {
            OrderedTimes(inherited.filter { it.confirmed }.map { it.heartbeatSentAfter })
        }

        /**
         * More than [RecoveryTuning.MAJORITY_SHARE] of all inherited machines, confirmed or not, sent one after [time].
         */
        fun areMostSentAfter(time: Long) = times.countAfter(time) > inherited.size * RecoveryTuning.MAJORITY_SHARE
    }
}
