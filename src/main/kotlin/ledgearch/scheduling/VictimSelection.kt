package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TeamQuotas

/**
 * Selects on one machine the victims that make room for one more task of [job]: the cheapest that [job] may preempt,
 * one after the other until the task fits.
 */
internal class VictimSelection(
    private val job: Job,
    private val claimsGuarantee: Boolean,
    private val mode: PreemptionMode,
    private val rules: PreemptionRules,
    private val teams: TeamQuotas,
) {
    /** Null if nothing may be preempted on the machine of [candidate], or if that does not make enough room. */
    fun on(candidate: PreemptionCandidate): VictimSet? {
        val victims = select(candidate) ?: return null
        val imageCost = candidate.machine.imageDistance(job.spec.image) * SchedulingTuning.IMAGE_DISTANCE_COST
        return VictimSet(candidate, victims, victims.sumOf { it.cost } + imageCost)
    }

    /** Counts the victims as gone while it selects, and takes that back in the end. */
    private fun select(candidate: PreemptionCandidate): List<PreemptionVictim>? {
        val free = candidate.freeOnceStopped
        var selected: ArrayList<PreemptionVictim>? = null
        for (victim in candidate.victims) {
            if (!mayPreempt(victim) || !teamCanSpare(victim, selected)) continue
            val victims = selected ?: ArrayList<PreemptionVictim>().also { selected = it }
            victims.add(victim)
            free.give(victim.job)
            if (free.fits(job)) break
        }
        val victims = selected ?: return null
        val enough = free.fits(job)
        victims.forEach { free.take(it.job) }
        return if (enough) victims else null
    }

    private fun mayPreempt(victim: PreemptionVictim): Boolean =
        victim.attempt.continues &&
            rules.mayPreempt(job, claimsGuarantee, victim.job) &&
            (mode.mayMissObjectives || victim.missedObjectives == 0)

    /** The team of a victim selected before may have no surplus left. */
    private fun teamCanSpare(
        victim: PreemptionVictim,
        selected: List<PreemptionVictim>?,
    ): Boolean =
        victim.job.priority != job.priority ||
            teams.canSpare(victim.job, selected.orEmpty().map { it.job })
}
