package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.runtime.Clock

/**
 * Whether this node knows enough of a job's DAG dependencies to report the job as open. [freshMs]: how long ago the job
 * store may have been complete for that (ms).
 */
internal class DependencyKnowledge(
    private val jobStore: JobStore,
    private val clock: Clock,
    private val freshMs: Long,
) {
    /** The job store was complete so recently that what it has of a chain is within the time for a cancellation. */
    val isFresh: Boolean get() = clock.steadyMs - jobStore.completeAsOfMs < freshMs

    /**
     * Whether [job] may be reported as open. A job with unfinished dependencies may be cancelled through them without a
     * change of its own record, so all of them have to be known here, and known to have been open a short while ago.
     */
    fun mayReportOpen(job: Job): Boolean {
        if (!job.isBlockedByDependencies) return true
        return !job.hasCancelledDependency && isFresh && jobStore.dependencies.areDependenciesOpen(job)
    }
}
