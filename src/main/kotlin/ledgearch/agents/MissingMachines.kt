package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.StallCompensation

/**
 * Inherited machines that are most likely gone already. Every older job waits for each of them, so they are released
 * sooner than a silent machine would be otherwise. A release proves that a machine is gone; what is decided here only
 * chooses which machines to give back.
 */
internal class MissingMachines(
    private val election: Election,
    private val stalls: StallCompensation,
    /** ms. Within it every worker would have reported by itself. */
    private val reportedWithinMs: Long,
) {
    /** Those of [inherited] that are missing; zones that may come back are left out of [inherited]. */
    fun among(inherited: List<Machine>): List<Machine> {
        if (inherited.none(::isUnconfirmed)) return emptyList()
        val confirmed = inherited.count { it.confirmed }
        if (!hearsEnough(confirmed, inherited.size)) return emptyList()
        val mostConfirmed = confirmed > inherited.size * RecoveryTuning.MOST
        val others = ReportTimes(inherited)
        return inherited.filter { isUnconfirmed(it) && isMissing(it, others, mostConfirmed) }
    }

    private fun isUnconfirmed(machine: Machine) = !machine.confirmed && !machine.releasing

    private fun isMissing(
        machine: Machine,
        others: ReportTimes,
        mostConfirmed: Boolean,
    ) = machine.probesFailed >= AgentTuning.PROBES ||
        (mostConfirmed && (wasBeingReturned(machine) || isPassedByOthers(machine, others)))

    private fun wasBeingReturned(machine: Machine) = machine.returningHint && machine.probesUnanswered > 0

    /**
     * While this node does not keep up, a probe that timed out proves nothing by itself: its answer may wait here
     * unread. But messages are read in the order in which they come, and most other machines sent reports after [m] was
     * asked, which have been read. Without this a node that never quite keeps up waited for a machine that is gone
     * until its silence was long enough for any machine.
     */
    private fun isPassedByOthers(
        machine: Machine,
        others: ReportTimes,
    ): Boolean {
        if (machine.probesUnanswered < AgentTuning.PROBES ||
            machine.sequenceFirstSeenAt > machine.unansweredSince
        ) {
            return false
        }
        return others.sentAfter(machine.unansweredSince) > others.machines * RecoveryTuning.MOST
    }

    /** When the confirmed machines among [inherited] sent their last reports, ordered once for all that are missing. */
    private class ReportTimes(
        inherited: List<Machine>,
    ) {
        val machines = inherited.size
        private val times by lazy(LazyThreadSafetyMode.NONE) {
            inherited.filter { it.confirmed }.map { it.heartbeatSentAfter }.sorted()
        }

        /** How many sent their last report after [time] (steady ms). */
        fun sentAfter(time: Long): Int = times.size - times.binarySearch { if (it > time) 1 else -1 }.inv()
    }

    /**
     * Where most machines are missing, it takes the time in which every worker would have reported by itself to tell
     * that it is not this node, and as long as it is heard by some.
     */
    private fun hearsEnough(
        confirmed: Int,
        all: Int,
    ) = confirmed > all * RecoveryTuning.MOST ||
        (
            confirmed > all * AgentTuning.HEARD_SHARE &&
                stalls.attentiveMsSince(election.electedAt) > reportedWithinMs
        )
}
