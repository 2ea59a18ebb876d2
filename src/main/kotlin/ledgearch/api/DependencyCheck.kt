package ledgearch.api

import ledgearch.jobs.JobReadResult
import ledgearch.jobs.JobStore
import ledgearch.records.FinalRecord

/** The result of checking the jobs that a submission names as its DAG dependencies. */
internal sealed interface DependencyCheckResult {
    /** All of them were accepted; [finalRecords] holds the final records that the check read, by job id. */
    class AllAccepted(
        val finalRecords: Map<String, FinalRecord>,
    ) : DependencyCheckResult

    /** The job [id] was never accepted by any node. */
    class NeverAccepted(
        val id: String,
    ) : DependencyCheckResult

    /** The job [id] is a service, which is never done. */
    class IsService(
        val id: String,
    ) : DependencyCheckResult

    /** The state service gave no conclusive reply. */
    data object Unknown : DependencyCheckResult
}

/**
 * Checks whether DAG dependencies were accepted. An acceptance is permanent, so any open or final record that this node
 * has proves it. Only a read can prove the contrary, see [ledgearch.jobs.JobRecordReader].
 */
internal class DependencyCheck(
    private val jobStore: JobStore,
) {
    /** Checks the jobs [ids] one after the other and calls [done] once, at once or after the last read. */
    fun check(
        ids: List<String>,
        done: (DependencyCheckResult) -> Unit,
    ) = check(ids, HashMap(), done)

    private fun check(
        ids: List<String>,
        finalRecords: HashMap<String, FinalRecord>,
        done: (DependencyCheckResult) -> Unit,
    ) {
        for ((index, id) in ids.withIndex()) {
            val job = jobStore.jobs[id]
            if (job?.isService == true) return done(DependencyCheckResult.IsService(id))
            if (job != null || jobStore.finalRecord(id) != null) continue
            return read(id, done) { finalRecord ->
                if (finalRecord != null) finalRecords[id] = finalRecord
                check(ids.drop(index + 1), finalRecords, done)
            }
        }
        done(DependencyCheckResult.AllAccepted(finalRecords))
    }

    /** Reads the job [id]. [onAccepted] gets its final record, null while it is open; [done] gets any other result. */
    private fun read(
        id: String,
        done: (DependencyCheckResult) -> Unit,
        onAccepted: (FinalRecord?) -> Unit,
    ) = jobStore.recordReader.read(id) { result ->
        when (result) {
            is JobReadResult.Open -> onAccepted(null)
            is JobReadResult.Ended -> onAccepted(result.record)
            JobReadResult.Absent -> done(DependencyCheckResult.NeverAccepted(id))
            JobReadResult.Unknown -> done(DependencyCheckResult.Unknown)
        }
    }
}
