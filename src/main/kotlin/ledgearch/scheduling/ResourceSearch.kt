package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TaskAttempt
import ledgearch.model.ZoneSpread
import java.util.PriorityQueue

/**
 * The search for resources for the tasks of one [job]: machines with room first, those with its image before others;
 * then those where preemption makes room at the least cost. They are ordered once, and the victims on a machine are
 * selected again when its turn comes.
 */
internal class ResourceSearch(
    private val job: Job,
    candidates: List<PreemptionCandidate>,
    private val zones: ZoneSpread,
    private val selection: VictimSelection,
    /** False if [job] may preempt nothing that runs anywhere, so that no machine needs to be asked. */
    private val anyVictims: Boolean,
    private val preempt: (TaskAttempt, Job) -> Unit,
) {
    private class MachineWithRoom(
        val imageDistance: Int,
        val candidate: PreemptionCandidate,
    )

    private val allowed = candidates.filter { it.machine.allows(job) }
    private val withRoom = PriorityQueue<MachineWithRoom>(compareBy { it.imageDistance })

    /** The cheapest set of victims of each machine without room; built once no machine with room is left. */
    private var victimSets: PriorityQueue<VictimSet>? = null

    init {
        allowed.forEach(::addIfRoom)
    }

    /** A machine that has room for one more task; its victims, if it needed any, have been preempted. Null if none. */
    fun next(): PreemptionCandidate? = nextWithRoom() ?: nextByPreemption()

    /** Takes [candidate], which [next] returned and a task was assigned to, into the search again. */
    fun putBack(candidate: PreemptionCandidate) {
        if (candidate.freeOnceStopped.fits(job)) {
            addIfRoom(candidate)
        } else {
            victimSets?.let { addVictimSet(it, candidate) }
        }
    }

    private fun addIfRoom(candidate: PreemptionCandidate) {
        if (!candidate.freeOnceStopped.fits(job)) return
        withRoom.add(MachineWithRoom(candidate.machine.imageDistance(job.spec.image), candidate))
    }

    private fun addVictimSet(
        to: PriorityQueue<VictimSet>,
        candidate: PreemptionCandidate,
    ) {
        selection.on(candidate)?.let { to.add(it) }
    }

    private fun nextWithRoom(): PreemptionCandidate? {
        while (true) {
            val candidate = withRoom.poll()?.candidate ?: return null
            if (candidate.freeOnceStopped.fits(job) && zones.allows(candidate.machine.zone)) return candidate
        }
    }

    private fun nextByPreemption(): PreemptionCandidate? {
        val open = victimSets ?: selectEverywhere().also { victimSets = it }
        while (true) {
            val cheapest = open.poll() ?: return null
            val candidate = cheapest.candidate
            if (!zones.allows(candidate.machine.zone)) continue
            // Meanwhile victims may have stopped, or a team have no surplus left.
            val current = selection.on(candidate) ?: continue
            if (current.cost > cheapest.cost) {
                open.add(current)
                continue
            }
            preemptAll(current)
            return candidate
        }
    }

    private fun selectEverywhere(): PriorityQueue<VictimSet> {
        val all = PriorityQueue<VictimSet>(compareBy { it.cost })
        if (anyVictims) allowed.forEach { addVictimSet(all, it) }
        return all
    }

    private fun preemptAll(set: VictimSet) {
        for (victim in set.victims) {
            set.candidate.freeOnceStopped.give(victim.job)
            preempt(victim.attempt, job)
        }
    }
}
