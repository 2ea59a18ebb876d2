package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.TeamQuotas

/** Which job may preempt tasks of which other. */
internal class PreemptionRules(
    private val teams: TeamQuotas,
    private val ranking: Ranking,
    private val recovery: RecoveryPolicy,
) {
    /** [tasks] more tasks of [job] are within its team's guaranteed share, and it has waited long enough to claim. */
    fun mayClaimGuarantee(
        job: Job,
        tasks: Int,
    ): Boolean = ranking.mayClaimGuarantee(job) && teams.mayClaim(job, tasks)

    /**
     * [job] may preempt tasks of [victim]: those of a lower priority and, if [claimsGuarantee], those of its own
     * priority that another team runs beyond its guaranteed share. A victim must come after [job] in serving order:
     * else it would be started again and preempted again for ever.
     */
    fun mayPreempt(
        job: Job,
        claimsGuarantee: Boolean,
        victim: Job,
    ): Boolean {
        if (recovery.protects(victim, job)) return false
        if (victim.priority > job.priority) return true
        return claimsGuarantee && victim.priority == job.priority && isSurplusOfOtherTeam(job, victim)
    }

    /** [victim] runs beyond the guaranteed share of another team than the one of [job], and that team can spare it. */
    private fun isSurplusOfOtherTeam(
        job: Job,
        victim: Job,
    ): Boolean = !victim.guaranteed && victim.spec.team != job.spec.team && !victim.isService && teams.canSpare(victim)

    /**
     * A task of [victim] may be preempted because the quota of the team that it shares with [job] is used up. It is
     * less urgent and holds at least as much of the quota as a task of [job] asks for.
     */
    fun mayTakeQuota(
        job: Job,
        victim: Job,
    ): Boolean =
        victim.spec.team == job.spec.team &&
            victim.priority > job.priority &&
            !recovery.protects(victim, job) &&
            victim.spec.vcpus >= job.spec.vcpus &&
            victim.spec.accelerators >= job.spec.accelerators
}
