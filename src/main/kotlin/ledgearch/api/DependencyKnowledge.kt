package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.runtime.Clock

/** Whether this node knows enough of the jobs that a job waits for to tell a user that the job is open. */
internal class DependencyKnowledge(
    private val jobStore: JobStore,
    private val clock: Clock,
    private val freshMs: Long,
) {
    /** The job store was complete so lately that what it has of a chain is within the time for a cancellation. */
    val isFresh: Boolean get() = clock.steadyMs - jobStore.completeAt < freshMs

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
