package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TeamQuotas

/**
 * Selects the victims on one machine that make room for one more task of [job]: of those that [job] may preempt, the
 * cheapest, until the task fits.
 */
internal class VictimSelector(
    private val job: Job,
    private val claimsGuarantee: Boolean,
    private val mode: PreemptionMode,
    private val rules: PreemptionRules,
    private val teams: TeamQuotas,
) {
    /** Returns the victims on the machine of [candidate]; null if there are none or they do not make enough room. */
    fun selectOn(candidate: PreemptionCandidate): VictimSet? {
        val victims = select(candidate) ?: return null
        val imageCostCpuS =
            candidate.machine.images.distance(job.spec.image) * SchedulingTuning.IMAGE_DISTANCE_COST_CPU_S
        return VictimSet(candidate, victims, victims.sumOf { it.costCpuS } + imageCostCpuS)
    }

    /** Returns the victims. Their resources are released on the candidate only while this function runs. */
    private fun select(candidate: PreemptionCandidate): List<PreemptionVictim>? {
        val free = candidate.freeAfterStops
        var selected: ArrayList<PreemptionVictim>? = null
        for (victim in candidate.victims) {
            if (!mayPreempt(victim) || !canTeamSpare(victim, selected)) continue
            val victims = selected ?: ArrayList<PreemptionVictim>().also { selected = it }
            victims.add(victim)
            free.release(victim.job)
            if (free.fits(job)) break
        }
        val victims = selected ?: return null
        val isEnough = free.fits(job)
        victims.forEach { free.take(it.job) }
        return if (isEnough) victims else null
    }

    private fun mayPreempt(victim: PreemptionVictim): Boolean =
        victim.attempt.continues &&
            rules.mayPreempt(job, claimsGuarantee, victim.job) &&
            (mode.mayMissObjectives || victim.missedObjectives == 0)

    /** Returns whether the victim's team still has surplus, not counting the victims selected so far. */
    private fun canTeamSpare(
        victim: PreemptionVictim,
        selected: List<PreemptionVictim>?,
    ): Boolean =
        victim.job.priority != job.priority ||
            teams.canSpare(victim.job, selected.orEmpty().map { it.job })
}
