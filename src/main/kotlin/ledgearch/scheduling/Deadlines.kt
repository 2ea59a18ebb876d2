package ledgearch.scheduling

import ledgearch.config.Objective
import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND

/**
 * Computes by when jobs have to end so that their own deadlines and those of the jobs that depend on them are met. The
 * end of a job leaves time for the run times on the longest path to the deadline (the critical path). Results are
 * cached while the clock does not advance, that is for one placement pass. [dependentsOf] returns the open jobs that
 * directly depend on a job.
 */
internal class Deadlines(
    objectives: List<Objective>,
    private val estimates: RunTimeEstimates,
    private val clock: Clock,
    private val dependentsOf: (Job) -> Collection<Job>,
) {
    /** By class, the multiples of the deadline that its service-level objectives name, ascending. */
    private val deadlineMultiples: Map<String, List<Double>> =
        objectives
            .filter { it.kind == "deadline" && it.jobClass != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.deadlineMultiple })
            .mapValues { it.value.sorted() }

    private val cachedEndsS = HashMap<Job, List<Double>>()

    /** Steady ms for which [cachedEndsS] is valid. */
    private var cachedAtMs = Long.MIN_VALUE

    /** Returns the latest end times of [job] in wall-clock seconds, ascending, one for each deadline to be met. */
    fun latestEndsS(job: Job): List<Double> {
        if (cachedAtMs != clock.steadyMs) {
            cachedAtMs = clock.steadyMs
            cachedEndsS.clear()
        }
        return latestEndsS(job, SchedulingTuning.MAX_DEADLINE_CHAIN_JOBS)
    }

    /** Considers at most [depth] more jobs along each path; the path with the earliest end determines the result. */
    private fun latestEndsS(
        job: Job,
        depth: Int,
    ): List<Double> {
        val own = ownDeadlinesS(job)
        val dependents = dependentsOf(job)
        if (dependents.isEmpty() || depth == 0) return own
        cachedEndsS[job]?.let { return it }
        // Also ends the recursion if records contain a dependency cycle.
        cachedEndsS[job] = own
        val candidates = dependents.map { dependent -> latestStartsS(dependent, depth - 1) } + listOf(own)
        val earliest = candidates.filter { it.isNotEmpty() }.minByOrNull { it.first() }.orEmpty()
        cachedEndsS[job] = earliest
        return earliest
    }

    private fun latestStartsS(
        job: Job,
        depth: Int,
    ): List<Double> = latestEndsS(job, depth).map { it - estimates.expectedRunTimeS(job) }

    private fun ownDeadlinesS(job: Job): List<Double> {
        val deadlineS = job.spec.deadlineS ?: return emptyList()
        val submittedAtS = job.record.submittedAtMs / MS_PER_SECOND
        return (deadlineMultiples[job.spec.jobClass] ?: listOf(1.0)).map { submittedAtS + deadlineS * it }
    }
}
