package ledgearch.intake

import ledgearch.core.FinalRecord
import ledgearch.core.JobStore
import ledgearch.core.Keys
import ledgearch.core.decodeRecord
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.wire.KeyValue

/** What is known of the jobs that a submission names as awaited. */
internal sealed interface AwaitedResult {
    /** Every one of them was accepted; [ended] are the final records that were read on the way. */
    class AllAccepted(
        val ended: Map<String, FinalRecord>,
    ) : AwaitedResult

    /** [job] was never accepted by any node. */
    class NeverAccepted(
        val job: String,
    ) : AwaitedResult

    /** [job] is a service, which is never done. */
    class IsService(
        val job: String,
    ) : AwaitedResult

    /** The state service gave no conclusive answer. */
    data object Unknown : AwaitedResult
}

/**
 * Finds out whether awaited jobs were accepted. That a job was accepted never changes, so any evidence of it counts.
 * That it was not needs a reading: a job moves from its open record to its final one in one transaction, so a job whose
 * open record and then whose final record are absent had not been accepted when the first was read.
 */
internal class AwaitedJobs(
    private val jobStore: JobStore,
    private val state: StateClient,
) {
    /** Looks at [ids] one after the other. */
    fun check(
        ids: List<String>,
        done: (AwaitedResult) -> Unit,
    ) = check(ids, HashMap(), done)

    private fun check(
        ids: List<String>,
        ended: HashMap<String, FinalRecord>,
        done: (AwaitedResult) -> Unit,
    ) {
        for ((index, id) in ids.withIndex()) {
            val job = jobStore.jobs[id]
            if (job?.standing == true) return done(AwaitedResult.IsService(id))
            if (job != null || jobStore.final(id) != null) continue
            return readOpen(id, done) { final ->
                if (final != null) ended[id] = final
                check(ids.drop(index + 1), ended, done)
            }
        }
        done(AwaitedResult.AllAccepted(ended))
    }

    private fun readOpen(
        id: String,
        done: (AwaitedResult) -> Unit,
        accepted: (FinalRecord?) -> Unit,
    ) = state.get(Keys.job(id), Lane.ORDINARY) { result ->
        when (result) {
            is ReadResult.Found -> accepted(null)
            ReadResult.Absent -> readOver(id, done, accepted)
            ReadResult.Failed -> done(AwaitedResult.Unknown)
        }
    }

    private fun readOver(
        id: String,
        done: (AwaitedResult) -> Unit,
        accepted: (FinalRecord?) -> Unit,
    ) = state.get(Keys.final(id), Lane.ORDINARY) { result ->
        when (result) {
            is ReadResult.Found -> remember(id, result)?.let(accepted) ?: done(AwaitedResult.Unknown)
            ReadResult.Absent -> done(AwaitedResult.NeverAccepted(id))
            ReadResult.Failed -> done(AwaitedResult.Unknown)
        }
    }

    private fun remember(
        id: String,
        result: ReadResult<KeyValue>,
    ): FinalRecord? {
        val stored = result as? ReadResult.Found ?: return null
        val record = decodeRecord(FinalRecord.serializer(), stored.value.v) ?: return null
        jobStore.rememberFinal(id, record)
        return record
    }
}
