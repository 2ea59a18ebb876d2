package ledgearch.scheduling

import ledgearch.model.ImageCache
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TaskAttempt
import ledgearch.model.TeamQuotas
import ledgearch.runtime.Clock

/**
 * Preempts tasks for jobs of a higher priority, and for jobs within their team's guaranteed share at the expense of
 * other teams' surplus. The cheapest victims ([PreemptionCosts]) are preempted first. [preempt] stops an attempt to
 * make room for a job.
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
     * Makes room on [usable] machines for the [waiting] jobs, which found none and are in serving order. [running] are
     * the jobs with tasks on machines. Nothing is preempted for a job that has just arrived if the processors that
     * running tasks free ([freedCpusPerSecond]) will soon suffice for it.
     */
    fun runPass(
        waiting: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
        freedCpusPerSecond: Double,
    ) {
        var expectedCpus =
            freedCpusPerSecond * SchedulingTuning.MAX_PREEMPTION_DELAY_S * SchedulingTuning.RELIABLE_FREED_SHARE
        val claimants =
            waiting.filter { job ->
                val neededCpus = job.pendingCount * job.spec.vcpus
                val canStartWithoutPreemption =
                    ranking.canWait(job, SchedulingTuning.MAX_PREEMPTION_DELAY_S) && expectedCpus >= neededCpus
                expectedCpus -= neededCpus
                !canStartWithoutPreemption && (teams.hasLowerPriorityAttempts(job) || rules.mayClaimGuarantee(job, 1))
            }
        if (claimants.isEmpty()) return
        serve(claimants, usable, running, PreemptionMode.ANY_MACHINE)
    }

    /**
     * Makes room for [latencySensitive] jobs on machines that have their image, without causing any other job to miss a
     * service-level objective. Returns, for each job that got room, the number of its tasks that did.
     */
    fun makeRoomWhereImageIsPresent(
        latencySensitive: List<Job>,
        usable: List<Machine>,
        running: List<Job>,
    ): Map<Job, Int> {
        val imageHolders =
            usable.filter { machine ->
                latencySensitive.any { machine.images.distance(it.spec.image) == ImageCache.PRESENT }
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
