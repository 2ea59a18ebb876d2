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

    /** Returns whether [job] may be reported as open, see [obstacleTo]. */
    fun mayReportOpen(job: Job): Boolean = obstacleTo(job) == null

    /**
     * Returns why [job] may not be reported as open, or null if it may. A job with unfinished dependencies may be
     * cancelled through them without a change of its own record, so this node's view must show all of them as open and
     * be recent.
     */
    fun obstacleTo(job: Job): UnavailableReason? =
        when {
            !job.isBlockedByDependencies -> null
            job.hasCancelledDependency -> UnavailableReason.DEPENDENCY_CANCELLED
            !isViewFresh -> UnavailableReason.VIEW_TOO_OLD
            !jobStore.dependencies.areDependenciesOpen(job) -> UnavailableReason.DEPENDENCY_UNKNOWN
            else -> null
        }
}
