package ledgearch.scheduling

import ledgearch.config.Objective
import ledgearch.model.Job
import ledgearch.runtime.Clock
import ledgearch.runtime.MS_PER_SECOND

/**
 * When jobs have to end so that deadlines are met: their own, and those of the jobs that depend on them. A job's end
 * leaves time for the run times still to come on the longest path to the deadline (the critical path). Results are kept
 * while the clock stands, that is for one placement pass. [dependentsOf]: the open jobs that directly depend on one.
 */
internal class Deadlines(
    objectives: List<Objective>,
    private val estimates: Estimates,
    private val clock: Clock,
    private val dependentsOf: (Job) -> Collection<Job>,
) {
    /** For each class, the multiples of the deadline that its service-level objectives ask for, ascending. */
    private val deadlineMultiples: Map<String, List<Double>> =
        objectives
            .filter { it.kind == "deadline" && it.jobClass != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.times })
            .mapValues { it.value.sorted() }

    private val knownEnds = HashMap<Job, List<Double>>()

    /** Steady ms at which [knownEnds] was last emptied. */
    private var validAt = Long.MIN_VALUE

    /**
     * The latest times, in wall-clock seconds and ascending, at which [job] may end; one for each deadline to be met.
     */
    fun latestEnds(job: Job): List<Double> {
        if (validAt != clock.steadyMs) {
            validAt = clock.steadyMs
            knownEnds.clear()
        }
        return latestEnds(job, SchedulingTuning.DEADLINE_LOOK_AHEAD)
    }

    /** [depth]: how many more jobs along the chain are asked. Of all paths the one with the earliest end counts. */
    private fun latestEnds(
        job: Job,
        depth: Int,
    ): List<Double> {
        val own = ownDeadlines(job)
        val dependents = dependentsOf(job)
        if (dependents.isEmpty() || depth == 0) return own
        knownEnds[job]?.let { return it }
        // Also ends the search where a record claims a cycle.
        knownEnds[job] = own
        val candidates =
            dependents.map { dependent -> latestStarts(dependent, depth - 1) } +
                listOf(own)
        val earliest = candidates.filter { it.isNotEmpty() }.minByOrNull { it.first() }.orEmpty()
        knownEnds[job] = earliest
        return earliest
    }

    private fun latestStarts(
        job: Job,
        depth: Int,
    ): List<Double> = latestEnds(job, depth).map { it - estimates.seconds(job) }

    private fun ownDeadlines(job: Job): List<Double> {
        val deadlineS = job.spec.deadlineS ?: return emptyList()
        val submittedAtS = job.record.submittedAtMs / MS_PER_SECOND
        return (deadlineMultiples[job.spec.jobClass] ?: listOf(1.0)).map { submittedAtS + deadlineS * it }
    }
}
