package ledgearch.election

import ledgearch.records.Keys
import ledgearch.records.LeadershipRecord
import ledgearch.records.StepDownRecord
import ledgearch.records.encodeRecord
import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.TransactionResult
import ledgearch.wire.Change
import ledgearch.wire.Condition

/**
 * Writes and removes the leadership record. Each write compares the record's revision (compare-and-swap), so that the
 * state service lets one writer through.
 */
internal class LeadershipWrites(
    private val node: String,
    private val instance: Long,
    private val state: StoreClient,
    private val lease: NodeLease,
    private val clock: Clock,
) {
    /**
     * Writes this process instance's leadership record over the one at [expectedRevision] (0: none exists). [renews]:
     * the token that the record renews, 0 for a claim.
     */
    fun write(
        expectedRevision: Long,
        renews: Long,
        done: (TransactionResult) -> Unit,
    ) {
        val record = LeadershipRecord(node, instance, renews)
        val change =
            Change(
                put = Keys.leadership(0),
                value = encodeRecord(LeadershipRecord.serializer(), record),
                leaseId = lease.id,
            )
        state.transact(listOf(leadershipAt(expectedRevision)), listOf(change), RequestClass.CRITICAL, done)
    }

    /**
     * Removes the leadership record at [revision] so that another node can claim it. [recordsStepDown]: the step-down
     * is recorded along with it. The answer is not waited for: what failed to go is removed by a later try, or with
     * the lease.
     */
    fun release(
        revision: Long,
        recordsStepDown: Boolean,
    ) {
        val removal = Change(remove = Keys.leadership(0))
        val changes = if (recordsStepDown) listOf(removal, stepDown()) else listOf(removal)
        state.transact(listOf(leadershipAt(revision)), changes, RequestClass.CRITICAL) { }
    }

    private fun stepDown(): Change {
        val record = StepDownRecord(node, clock.wallMs)
        return Change(put = Keys.stepDown(0), value = encodeRecord(StepDownRecord.serializer(), record))
    }

    private fun leadershipAt(revision: Long) = Condition(Keys.leadership(0), revision)
}
