package ledgearch.agents

import ledgearch.election.Election
import ledgearch.model.Machine
import ledgearch.recovery.RecoveryTuning
import ledgearch.runtime.EventLoopLagMonitor

/**
 * Finds inherited machines that are most likely gone already. Every older job waits for each of them, so they are
 * released sooner than other machines without heartbeats. A wrong guess is safe: only the cloud's confirmation of the
 * release proves that a machine is gone.
 */
internal class MissingMachines(
    private val election: Election,
    private val lagMonitor: EventLoopLagMonitor,
    /** Time within which every healthy agent sends a heartbeat. */
    private val heartbeatWindowMs: Long,
) {
    /** Returns whether [machine] may be missing; without any such machine [findAmong] finds none. */
    fun isCandidate(machine: Machine): Boolean = machine.isInherited && isUnconfirmed(machine)

    /** Returns the missing machines of [inherited], which holds no machine that is kept during a partition. */
    fun findAmong(inherited: List<Machine>): List<Machine> {
        if (inherited.none(::isUnconfirmed)) return emptyList()
        val confirmedCount = inherited.count { it.isConfirmed }
        if (!areEnoughConfirmed(confirmedCount, inherited.size)) return emptyList()
        val isMajorityConfirmed = confirmedCount > inherited.size * RecoveryTuning.MAJORITY_SHARE
        val heartbeats = ConfirmedHeartbeats(inherited)
        return inherited.filter { isUnconfirmed(it) && isMissing(it, heartbeats, isMajorityConfirmed) }
    }

    private fun isUnconfirmed(machine: Machine) = !machine.isConfirmed && !machine.isReleasing

    private fun isMissing(
        machine: Machine,
        heartbeats: ConfirmedHeartbeats,
        isMajorityConfirmed: Boolean,
    ): Boolean {
        if (machine.consecutiveFailedProbes >= AgentTuning.FAILED_PROBES_FOR_RELEASE) return true
        return isMajorityConfirmed && (wasBeingReturned(machine) || haveOthersReportedSince(machine, heartbeats))
    }

    private fun wasBeingReturned(machine: Machine) = machine.isReturningHint && machine.consecutiveUnansweredProbes > 0

    /**
     * Returns whether most other machines sent heartbeats after [machine] was first probed without a reply. While this
     * node lags, a timed-out probe alone proves nothing, since the reply may wait here unread. But messages are read in
     * the order of their arrival, and those later heartbeats have been read. Without this rule a node that always lags
     * a little would detect the machine only by its missing heartbeats.
     */
    private fun haveOthersReportedSince(
        machine: Machine,
        heartbeats: ConfirmedHeartbeats,
    ): Boolean {
        if (machine.consecutiveUnansweredProbes < AgentTuning.FAILED_PROBES_FOR_RELEASE) return false
        if (machine.numbers.heartbeatFirstSeenAtMs > machine.unansweredSinceMs) return false
        return heartbeats.hasMajorityAfter(machine.unansweredSinceMs)
    }

    /**
     * Returns whether enough machines have confirmed the token to exclude a fault of this node: most of them, or more
     * than [AgentTuning.MIN_REPORTING_SHARE] once every healthy agent has had the time to send a heartbeat.
     */
    private fun areEnoughConfirmed(
        confirmedCount: Int,
        totalCount: Int,
    ) = confirmedCount > totalCount * RecoveryTuning.MAJORITY_SHARE ||
        (
            confirmedCount > totalCount * AgentTuning.MIN_REPORTING_SHARE &&
                lagMonitor.responsiveMsSince(election.electedAtMs) > heartbeatWindowMs
        )

    /** When the confirmed machines of [inherited] sent their last heartbeats; sorted once, on first use. */
    private class ConfirmedHeartbeats(
        private val inherited: List<Machine>,
    ) {
        private val sentAfterMs by lazy(LazyThreadSafetyMode.NONE) {
            SortedTimes(inherited.filter { it.isConfirmed }.map { it.numbers.heartbeatSentAfterMs })
        }

        /** Returns whether most of all inherited machines, confirmed or not, sent a heartbeat after [timeMs]. */
        fun hasMajorityAfter(timeMs: Long) =
            sentAfterMs.countAfter(timeMs) > inherited.size * RecoveryTuning.MAJORITY_SHARE
    }
}
