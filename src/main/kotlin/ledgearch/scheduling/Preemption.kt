package ledgearch.scheduling

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock

/**
 * Makes room for work that may not wait: for a job of higher priority, or for one within its team's guaranteed share at
 * the cost of work that another team runs beyond its own. What has run least is preempted first. [preempt] stops an
 * attempt for a job.
 */
internal class Preemption(
    private val teams: TeamQuotas,
    private val ranking: Ranking,
    clock: Clock,
    recovery: RecoveryPolicy,
    private val preempt: (TaskAttempt, Job) -> Unit,
) {
    private val rules = PreemptionRules(teams, ranking, recovery)
    private val costs = PreemptionCosts(ranking, clock, recovery)

    /**
     * [waiting]: jobs in serving order that found no room; [usable]: machines that may serve them; [running]: jobs with
     * tasks on machines, of which it is asked whether anything may be preempted before each machine is;
     * [freedCpusPerSecond]: processors that running tasks free. Where that much frees soon, nothing is preempted for a
     * job that has just come.
     */
    fun pass(
        waiting: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
        freedCpusPerSecond: Double,
    ) {
        var expectedCpus = freedCpusPerSecond * SchedulingTuning.PATIENCE_S * SchedulingTuning.FREED_SHARE_COUNTED
        val claimants =
            waiting.filter { job ->
                val wantedCpus = job.pendingCount * job.spec.vcpus
                val servedSoon = ranking.canWait(job, SchedulingTuning.PATIENCE_S) && expectedCpus >= wantedCpus
                expectedCpus -= wantedCpus
                !servedSoon && (teams.anyLowerPriority(job) || rules.mayClaimGuarantee(job, 1))
            }
        if (claimants.isEmpty()) return
        serve(claimants, usable, running, PreemptionMode.ANY_MACHINE)
    }

    /**
     * Room for [latencySensitive] jobs on machines that have their image, at the cost of no other job's service-level
     * objectives. Returns for each job that got any how many of its tasks get room at once.
     */
    fun makeRoomWhereImageIs(
        latencySensitive: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ): Map<Job, Int> {
        val imageHolders =
            usable.filter { machine ->
                latencySensitive.any { machine.imageDistance(it.spec.image) == Machine.IMAGE_PRESENT }
            }
        return serve(latencySensitive, imageHolders, running, PreemptionMode.IMAGE_HOLDERS)
    }

    private fun serve(
        jobs: List<Job>,
        machines: List<Machine>,
        running: List<Job>,
        mode: PreemptionMode,
    ): Map<Job, Int> {
        val candidates = machines.map { PreemptionCandidate(it, costs) }
        return PreemptionPass(rules, teams, preempt, candidates, running, mode).serve(jobs)
    }
}
