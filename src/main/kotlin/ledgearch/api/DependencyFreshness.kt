package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.runtime.Clock

/**
 * Decides whether this node's view of a job's DAG dependencies is complete and recent enough to report the job as open.
 * The view may be at most [maxViewAgeMs] old.
 */
internal class DependencyFreshness(
    private val jobStore: JobStore,
    private val clock: Clock,
    private val maxViewAgeMs: Long,
) {
    /** Whether the job store was complete recently enough that a cancelled dependency is reported in time. */
    val isViewFresh: Boolean get() = clock.steadyMs - jobStore.completeAsOfMs < maxViewAgeMs

    /**
     * Returns whether [job] may be reported as open. A job with unfinished dependencies may be cancelled through them
     * without a change of its own record, so this node's view must show all of them as open and be recent.
     */
    fun mayReportOpen(job: Job): Boolean {
        if (!job.isBlockedByDependencies) return true
        return !job.hasCancelledDependency && isViewFresh && jobStore.dependencies.areDependenciesOpen(job)
    }
}
