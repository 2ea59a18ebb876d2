package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TaskAttempt
import ledgearch.model.ZoneSpread
import java.util.PriorityQueue

/**
 * Searches for resources for the tasks of one [job]: first on machines with room, those with the job's image before
 * others, then on machines where preemption makes room at the lowest cost. Machines are sorted once; the victims on a
 * machine are selected again when it is its turn.
 */
internal class ResourceSearch(
    private val job: Job,
    candidates: List<PreemptionCandidate>,
    private val zoneSpread: ZoneSpread,
    private val victimSelector: VictimSelector,
    /** False if no running job has tasks that [job] may preempt; no machine is searched for victims then. */
    private val hasVictims: Boolean,
    private val preempt: (TaskAttempt, Job) -> Unit,
) {
    private class CandidateWithRoom(
        val imageDistance: Int,
        val candidate: PreemptionCandidate,
    )

    private val allowedCandidates = candidates.filter { it.machine.allows(job) }
    private val withRoom = PriorityQueue<CandidateWithRoom>(compareBy { it.imageDistance })

    /** The victims on each machine that needs preemption; built when no machine with room is left. */
    private var victimSets: PriorityQueue<VictimSet>? = null

    init {
        allowedCandidates.forEach(::addIfRoom)
    }

    /** Returns a machine with room for one more task, after preempting tasks there if needed; null if there is none. */
    fun next(): PreemptionCandidate? = nextWithRoom() ?: nextByPreemption()

    /** Adds [candidate], which [next] returned, to the search again after a task was assigned to it. */
    fun putBack(candidate: PreemptionCandidate) {
        if (candidate.freeAfterStops.fits(job)) {
            addIfRoom(candidate)
        } else {
            victimSets?.let { addVictimSet(it, candidate) }
        }
    }

    private fun addIfRoom(candidate: PreemptionCandidate) {
        if (!candidate.freeAfterStops.fits(job)) return
        withRoom.add(CandidateWithRoom(candidate.machine.images.distance(job.spec.image), candidate))
    }

    private fun addVictimSet(
        sets: PriorityQueue<VictimSet>,
        candidate: PreemptionCandidate,
    ) {
        victimSelector.selectOn(candidate)?.let { sets.add(it) }
    }

    private fun nextWithRoom(): PreemptionCandidate? {
        while (true) {
            val candidate = withRoom.poll()?.candidate ?: return null
            if (candidate.freeAfterStops.fits(job) && zoneSpread.allows(candidate.machine.zone)) return candidate
        }
    }

    private fun nextByPreemption(): PreemptionCandidate? {
        val sets = victimSets ?: selectOnAll().also { victimSets = it }
        while (true) {
            val cheapest = sets.poll() ?: return null
            val candidate = cheapest.candidate
            if (!zoneSpread.allows(candidate.machine.zone)) continue
            // Since the set was selected, victims may have been stopped or a team may have lost its surplus.
            val current = victimSelector.selectOn(candidate) ?: continue
            if (current.costCpuS > cheapest.costCpuS) {
                sets.add(current)
                continue
            }
            preemptAll(current)
            return candidate
        }
    }

    private fun selectOnAll(): PriorityQueue<VictimSet> {
        val sets = PriorityQueue<VictimSet>(compareBy { it.costCpuS })
        if (hasVictims) allowedCandidates.forEach { addVictimSet(sets, it) }
        return sets
    }

    private fun preemptAll(set: VictimSet) {
        for (victim in set.victims) {
            set.candidate.freeAfterStops.release(victim.job)
            preempt(victim.attempt, job)
        }
    }
}
