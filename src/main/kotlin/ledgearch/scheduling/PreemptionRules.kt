package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TeamQuotas

/** Decides which jobs may preempt tasks of which other jobs. */
internal class PreemptionRules(
    private val teams: TeamQuotas,
    private val ranking: Ranking,
    private val recovery: RecoveryPolicy,
) {
    /**
     * Returns whether [job] has waited long enough to claim its team's guaranteed share and [tasks] more of its tasks
     * are within it.
     */
    fun mayClaimGuarantee(
        job: Job,
        tasks: Int,
    ): Boolean = ranking.mayClaimGuarantee(job) && teams.mayClaimGuarantee(job, tasks)

    /**
     * Returns whether [job] may preempt tasks of [victim]: those of a lower priority and, if [claimsGuarantee], the
     * surplus of other teams at its own priority. A victim must come after [job] in serving order; otherwise it would
     * be restarted and preempted again endlessly.
     */
    fun mayPreempt(
        job: Job,
        claimsGuarantee: Boolean,
        victim: Job,
    ): Boolean {
        if (recovery.protectsFromPreemption(victim, job)) return false
        if (victim.priority > job.priority) return true
        return claimsGuarantee && victim.priority == job.priority && isSurplusOfOtherTeam(job, victim)
    }

    /** Returns whether tasks of [victim], which is not a service, are surplus of a team other than that of [job]. */
    private fun isSurplusOfOtherTeam(
        job: Job,
        victim: Job,
    ): Boolean =
        !victim.isGuaranteed && victim.spec.team != job.spec.team && !victim.isService && teams.canSpare(victim)

    /**
     * Returns whether [job], whose team has used up its quota, may preempt tasks of [victim] to free some of it:
     * [victim] belongs to the same team, is less urgent, and each of its tasks uses at least as much of the quota.
     */
    fun mayPreemptForQuota(
        job: Job,
        victim: Job,
    ): Boolean =
        victim.spec.team == job.spec.team &&
            victim.priority > job.priority &&
            !recovery.protectsFromPreemption(victim, job) &&
            victim.spec.vcpus >= job.spec.vcpus &&
            victim.spec.accelerators >= job.spec.accelerators
}
