package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.records.FinalRecord
import ledgearch.wire.JobState

/** Whether the DAG dependencies of a submitted job allow its acceptance. */
internal enum class Admission {
    /** The job can be accepted as open. */
    OPEN,

    /** A direct or indirect dependency was cancelled: the job is accepted as cancelled. */
    CANCELLED,

    /** Records of dependencies are still being read; a later call decides. */
    UNDECIDED,

    /** This node's view of the dependencies is too old to decide: the submission is rejected with a 503. */
    STALE,
}

/** Decides on the admission of submissions from this node's view of their DAG dependencies. */
internal class DependencyAdmission(
    private val jobStore: JobStore,
    private val freshness: DependencyFreshness,
) {
    /** Decides on [submission]; called again for each transaction that may include it. */
    fun decide(submission: Submission): Admission {
        val unfinished = unfinishedDependencies(submission)
        return when {
            unfinished.isNotEmpty() && !freshness.isViewFresh -> Admission.STALE

            unfinished.any { isCancelled(it, submission) } -> Admission.CANCELLED

            // An indirect dependency whose record has not been read yet may have been cancelled long ago.
            !unfinished.all(jobStore.dependencies::isOpenWithDependencies) -> Admission.UNDECIDED

            else -> Admission.OPEN
        }
    }

    private fun unfinishedDependencies(submission: Submission): List<String> {
        val dependencies = submission.record.spec.dependsOn
        return dependencies.orEmpty().filter { finalRecordOf(it, submission)?.state != JobState.DONE }
    }

    /** Returns whether the dependency [id], which is not done, was cancelled: if it has ended, it was. */
    private fun isCancelled(
        id: String,
        submission: Submission,
    ) = finalRecordOf(id, submission) != null || jobStore.jobs[id]?.hasCancelledDependency == true

    private fun finalRecordOf(
        id: String,
        submission: Submission,
    ): FinalRecord? = submission.dependencyFinalRecords[id] ?: jobStore.finalRecord(id)
}
