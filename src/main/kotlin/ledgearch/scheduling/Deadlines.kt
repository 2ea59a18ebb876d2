package ledgearch.scheduling

import ledgearch.config.Objective
import ledgearch.model.Job
import ledgearch.runtime.Clock

/**
 * When jobs have to end so that deadlines are met: their own, and those of the jobs that depend on them. A job's end
 * leaves time for the run times still to come on the longest path to the deadline (the critical path). Results are kept
 * while the clock stands, that is for one placement pass.
 */
internal class Deadlines(
    objectives: List<Objective>,
    private val estimates: Estimates,
    private val clock: Clock,
    private val dependentsOf: (Job) -> Collection<Job>,
) {
    /** For each class, the multiples of the deadline that its objectives ask for. */
    private val multiples: Map<String, List<Double>> =
        objectives
            .filter { it.kind == "deadline" && it.jobClass != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.times })
            .mapValues { it.value.sorted() }

    private val known = HashMap<Job, List<Double>>()
    private var knownAt = Long.MIN_VALUE

    /**
     * The latest times, in wall-clock seconds and ascending, at which [job] may end; one for each deadline to be met.
     */
    fun latestEnds(job: Job): List<Double> {
        if (knownAt != clock.steadyMs) {
            knownAt = clock.steadyMs
            known.clear()
        }
        return latestEnds(job, SchedulingTuning.DEADLINE_LOOK_AHEAD)
    }

    private fun latestEnds(
        job: Job,
        depth: Int,
    ): List<Double> {
        val own = ownDeadlines(job)
        val dependents = dependentsOf(job)
        if (dependents.isEmpty() || depth == 0) return own
        known[job]?.let { return it }
        // Also ends the search where a record claims a cycle.
        known[job] = own
        val candidates =
            dependents.map { dependent -> latestEnds(dependent, depth - 1).map { it - estimates.seconds(dependent) } } +
                listOf(own)
        val earliest = candidates.filter { it.isNotEmpty() }.minByOrNull { it.first() }.orEmpty()
        known[job] = earliest
        return earliest
    }

    private fun ownDeadlines(job: Job): List<Double> {
        val due = job.spec.deadlineS ?: return emptyList()
        val submittedAt = job.record.submittedAt / MS_PER_SECOND
        return (multiples[job.spec.jobClass] ?: listOf(1.0)).map { submittedAt + due * it }
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
