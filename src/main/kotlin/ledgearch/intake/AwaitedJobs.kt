package ledgearch.intake

import ledgearch.core.Book
import ledgearch.core.FinalRecord
import ledgearch.core.Keys
import ledgearch.core.decodeRecord
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.wire.KeyValue

/** What is known of the jobs that a submission names as awaited. */
internal sealed interface AwaitedResult {
    /** Every one of them was accepted. */
    data object AllAccepted : AwaitedResult

    /** [job] was never accepted by any node. */
    class NeverAccepted(val job: String) : AwaitedResult

    /** [job] is a service, which is never done. */
    class IsService(val job: String) : AwaitedResult

    /** The state service gave no conclusive answer. */
    data object Unknown : AwaitedResult
}

/**
 * Finds out whether awaited jobs were accepted. That a job was accepted never changes, so any evidence of it counts. That it
 * was not needs a reading: a job moves from its open record to its final one in one transaction, so a job whose open record
 * and then whose final record are absent had not been accepted when the first was read.
 */
internal class AwaitedJobs(private val book: Book, private val state: StateClient) {
    /** Looks at [ids] one after the other. */
    fun check(ids: List<String>, done: (AwaitedResult) -> Unit) {
        for ((index, id) in ids.withIndex()) {
            val job = book.jobs[id]
            if (job?.standing == true) return done(AwaitedResult.IsService(id))
            if (job != null || book.final(id) != null) continue
            return readOpen(id, done) { check(ids.drop(index + 1), done) }
        }
        done(AwaitedResult.AllAccepted)
    }

    /** Reads the final record of [id], which was open until a moment ago; [done] once it was read or can't be. */
    fun readFinal(id: String, done: () -> Unit) = state.get(Keys.final(id), Lane.ORDINARY) { result ->
        remember(id, result)
        done()
    }

    private fun readOpen(id: String, done: (AwaitedResult) -> Unit, accepted: () -> Unit) =
        state.get(Keys.job(id), Lane.ORDINARY) { result ->
            when (result) {
                is ReadResult.Found -> accepted()
                ReadResult.Absent -> readOver(id, done, accepted)
                ReadResult.Failed -> done(AwaitedResult.Unknown)
            }
        }

    private fun readOver(id: String, done: (AwaitedResult) -> Unit, accepted: () -> Unit) =
        state.get(Keys.final(id), Lane.ORDINARY) { result ->
            when (result) {
                is ReadResult.Found -> if (remember(id, result)) accepted() else done(AwaitedResult.Unknown)
                ReadResult.Absent -> done(AwaitedResult.NeverAccepted(id))
                ReadResult.Failed -> done(AwaitedResult.Unknown)
            }
        }

    private fun remember(id: String, result: ReadResult<KeyValue>): Boolean {
        val stored = result as? ReadResult.Found ?: return false
        val record = decodeRecord(FinalRecord.serializer(), stored.value.v) ?: return false
        book.rememberFinal(id, record)
        return true
    }
}
