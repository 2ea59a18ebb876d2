package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.records.FinalRecord
import ledgearch.wire.JobState

/** Whether a submitted job can be accepted, as far as its DAG dependencies decide it. */
internal enum class Admission {
    /** It can be accepted as open. */
    OPEN,

    /** A dependency was cancelled: the job is cancelled as it is accepted. */
    CANCELLED,

    /** Records of dependencies are still being read: it is decided later. */
    UNDECIDED,

    /** This node's job store is too old to decide it: the user has to come back. */
    STALE,
}

/** Decides on the admission of submissions from what this node knows of their DAG dependencies. */
internal class DependencyAdmission(
    private val jobStore: JobStore,
    private val knowledge: DependencyKnowledge,
) {
    /** Decides on [submission] now; called again for each transaction that may include it. */
    fun decide(submission: Submission): Admission {
        val unfinished = unfinishedDependencies(submission)
        return when {
            unfinished.isNotEmpty() && !knowledge.isFresh -> Admission.STALE

            unfinished.any { isCancelled(it, submission) } -> Admission.CANCELLED

            // A dependency of theirs that is still to be read may have been cancelled long ago.
            !unfinished.all(jobStore.dependencies::isOpenWithDependencies) -> Admission.UNDECIDED

            else -> Admission.OPEN
        }
    }

    private fun unfinishedDependencies(submission: Submission): List<String> {
        val dependencies = submission.record.spec.dependsOn
        return dependencies.orEmpty().filter { finalOf(it, submission)?.state != JobState.DONE }
    }

    /** The dependency [id] is not done: where it is over all the same, it was cancelled. */
    private fun isCancelled(
        id: String,
        submission: Submission,
    ) = finalOf(id, submission) != null || jobStore.jobs[id]?.hasCancelledDependency == true

    private fun finalOf(
        id: String,
        submission: Submission,
    ): FinalRecord? = submission.endedDependencies[id] ?: jobStore.finalRecord(id)
}
