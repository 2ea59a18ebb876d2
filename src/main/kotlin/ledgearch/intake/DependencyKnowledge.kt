package ledgearch.intake

import ledgearch.core.Job
import ledgearch.core.JobStore
import ledgearch.core.Now

/** Whether this node knows enough of the jobs that a job waits for to tell a user that the job is open. */
internal class DependencyKnowledge(
    private val jobStore: JobStore,
    private val now: Now,
    private val freshMs: Long,
) {
    /** The job store was complete so lately that what it has of a chain is within the time for a cancellation. */
    val isFresh: Boolean get() = now.steady - jobStore.completeAt < freshMs

    /**
     * Whether a user may be told that [job] is open. One that waits for others may be cancelled with them without
     * having been looked at itself, so all that it waits for has to be known here, and known to be open a short while
     * ago.
     */
    fun mayTellOpen(job: Job): Boolean {
        if (!job.waitsForOthers) return true
        return !job.dependencyCancelled && isFresh && jobStore.dependencies.areKnown(job)
    }
}
