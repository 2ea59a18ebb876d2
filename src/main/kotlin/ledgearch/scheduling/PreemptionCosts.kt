package ledgearch.scheduling

import ledgearch.model.AttemptState
import ledgearch.model.Job
import ledgearch.model.TaskAttempt
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND
import ledgearch.wire.Priority

/** What it costs to preempt an attempt, in processor seconds: the work lost and, priced as such, the harm done. */
internal class PreemptionCosts(
    private val ranking: Ranking,
    private val clock: Clock,
    private val recovery: RecoveryPolicy,
) {
    /** The attempt as a victim; null if it may not be preempted at all. */
    fun victim(attempt: TaskAttempt): PreemptionVictim? {
        val job = attempt.job
        if (job == null || attempt.exemptFromPreemption || !attempt.continues) return null
        val missed = missedObjectives(attempt, job)
        val cost =
            lostWork(attempt, job) +
                missed * SchedulingTuning.MISSED_OBJECTIVE_COST +
                priorityCost(job) -
                recovery.yieldsFor(job)
        return PreemptionVictim(attempt, job, missed, cost)
    }

    /** Work that is as urgent as what it makes room for is preempted last, however little it has done. */
    private fun priorityCost(job: Job): Double =
        (Priority.entries.size - 1 - job.priority.ordinal) * SchedulingTuning.PRIORITY_LEVEL_COST

    /**
     * Objectives that [job] meets only if [attempt] goes on; none if other tasks of the job wait to be started anyway.
     */
    private fun missedObjectives(
        attempt: TaskAttempt,
        job: Job,
    ): Int {
        if (job.pendingCount > 0 || attempt.state != AttemptState.RUNNING) return 0
        return ranking.missedByRestart(job, secondsSince(attempt.runningSince))
    }

    private fun lostWork(
        attempt: TaskAttempt,
        job: Job,
    ): Double {
        val running = attempt.state == AttemptState.RUNNING
        val since = if (running) attempt.runningSince else attempt.assignedAt
        val startCost = if (running) SchedulingTuning.LOST_START_COST else 0.0
        return secondsSince(since) * job.spec.vcpus + startCost
    }

    private fun secondsSince(steadyMs: Long): Double = (clock.steadyMs - steadyMs) / MS_PER_SECOND
}
