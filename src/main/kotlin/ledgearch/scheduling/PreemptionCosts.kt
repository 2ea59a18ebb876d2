package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.wire.Priority

/**
 * Computes the cost of preempting an attempt, in processor seconds: the work lost, plus surcharges for missed
 * objectives and for the priority.
 */
internal class PreemptionCosts(
    private val ranking: Ranking,
    private val clock: Clock,
    private val recovery: RecoveryPolicy,
) {
    /** Returns [attempt] with its cost, or null if it may not be preempted at all. */
    fun toVictim(attempt: TaskAttempt): PreemptionVictim? {
        val job = attempt.job
        if (job == null || attempt.isExemptFromPreemption || !attempt.continues) return null
        val missedObjectives = countMissedObjectives(attempt, job)
        val costCpuS =
            lostWorkCpuS(attempt, job) +
                missedObjectives * SchedulingTuning.MISSED_OBJECTIVE_COST_CPU_S +
                priorityCostCpuS(job) -
                recovery.preemptionDiscountCpuS(job)
        return PreemptionVictim(attempt, job, missedObjectives, costCpuS)
    }

    private fun priorityCostCpuS(job: Job): Double =
        (Priority.entries.size - 1 - job.priority.ordinal) * SchedulingTuning.PRIORITY_LEVEL_COST_CPU_S

    /**
     * Returns how many objectives [job] meets only if [attempt] continues; 0 if other tasks of the job are still to be
     * started anyway.
     */
    private fun countMissedObjectives(
        attempt: TaskAttempt,
        job: Job,
    ): Int {
        if (job.pendingCount > 0 || attempt.state != AttemptState.RUNNING) return 0
        return ranking.countMissedByRestart(job, secondsSince(attempt.runningSinceMs))
    }

    private fun lostWorkCpuS(
        attempt: TaskAttempt,
        job: Job,
    ): Double {
        val isRunning = attempt.state == AttemptState.RUNNING
        val sinceMs = if (isRunning) attempt.runningSinceMs else attempt.assignedAtMs
        val startCostCpuS = if (isRunning) SchedulingTuning.LOST_START_COST_CPU_S else 0.0
        return secondsSince(sinceMs) * job.spec.vcpus + startCostCpuS
    }

    private fun secondsSince(steadyMs: Long): Double = (clock.steadyMs - steadyMs) / MS_PER_SECOND
}
