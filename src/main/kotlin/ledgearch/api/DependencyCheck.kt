package ledgearch.api

import ledgearch.jobs.JobReadResult
import ledgearch.jobs.JobStore
import ledgearch.records.FinalRecord

/** What is known of the jobs that a submission names as its DAG dependencies. */
internal sealed interface DependencyCheckResult {
    /** Every one of them was accepted; [ended] are the final records that were read on the way, by job. */
    class AllAccepted(
        val ended: Map<String, FinalRecord>,
    ) : DependencyCheckResult

    /** [job] was never accepted by any node. */
    class NeverAccepted(
        val job: String,
    ) : DependencyCheckResult

    /** [job] is a service, which is never done. */
    class IsService(
        val job: String,
    ) : DependencyCheckResult

    /** The state service gave no conclusive answer. */
    data object Unknown : DependencyCheckResult
}

/**
 * Finds out whether DAG dependencies were accepted. That a job was accepted never changes, so any evidence of it
 * counts. That it was not needs a read: a job moves from its open record to its final one in one transaction, so a job
 * whose open record and then whose final record are absent had not been accepted when the first was read.
 */
internal class DependencyCheck(
    private val jobStore: JobStore,
) {
    /** Checks the jobs [ids] one after the other and calls [done] once, at once or when the last read is over. */
    fun check(
        ids: List<String>,
        done: (DependencyCheckResult) -> Unit,
    ) = check(ids, HashMap(), done)

    private fun check(
        ids: List<String>,
        ended: HashMap<String, FinalRecord>,
        done: (DependencyCheckResult) -> Unit,
    ) {
        for ((index, id) in ids.withIndex()) {
            val job = jobStore.jobs[id]
            if (job?.isService == true) return done(DependencyCheckResult.IsService(id))
            if (job != null || jobStore.finalRecord(id) != null) continue
            return read(id, done) { final ->
                if (final != null) ended[id] = final
                check(ids.drop(index + 1), ended, done)
            }
        }
        done(DependencyCheckResult.AllAccepted(ended))
    }

    /** Reads the job [id]: [accepted] gets its final record, null while it is open; [done] gets any other result. */
    private fun read(
        id: String,
        done: (DependencyCheckResult) -> Unit,
        accepted: (FinalRecord?) -> Unit,
    ) = jobStore.recordReader.read(id) { reading ->
        when (reading) {
            is JobReadResult.Open -> accepted(null)
            is JobReadResult.Ended -> accepted(reading.record)
            JobReadResult.Absent -> done(DependencyCheckResult.NeverAccepted(id))
            JobReadResult.Unknown -> done(DependencyCheckResult.Unknown)
        }
    }
}
