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
 * Writes and removes the leadership record by compare-and-swap on its revision, so that only one of several concurrent
 * writes succeeds.
 */
internal class LeadershipWriter(
    private val node: String,
    private val instance: Long,
    private val storeClient: StoreClient,
    private val lease: NodeLease,
    private val clock: Clock,
) {
    /**
     * Replaces the leadership record at [expectedRevision], 0 if none exists, by this process instance's.
     * [renewedToken] is the token that the record renews, 0 for a claim.
     */
    fun write(
        expectedRevision: Long,
        renewedToken: Long,
        onResult: (TransactionResult) -> Unit,
    ) {
        val record = LeadershipRecord(node, instance, renewedToken)
        val change =
            Change(
                put = Keys.leadership(0),
                value = encodeRecord(LeadershipRecord.serializer(), record),
                leaseId = lease.id,
            )
        storeClient.transact(listOf(leadershipAt(expectedRevision)), listOf(change), RequestClass.CRITICAL, onResult)
    }

    /**
     * Removes the leadership record at [revision] so that another node can claim it, and if [recordsStepDown] writes a
     * step-down record along with it. The result is ignored: a record that remains is removed by a later release or
     * when its lease expires.
     */
    fun release(
        revision: Long,
        recordsStepDown: Boolean,
    ) {
        val removal = Change(remove = Keys.leadership(0))
        val changes = if (recordsStepDown) listOf(removal, stepDownChange()) else listOf(removal)
        storeClient.transact(listOf(leadershipAt(revision)), changes, RequestClass.CRITICAL) { }
    }

    private fun stepDownChange(): Change {
        val record = StepDownRecord(node, clock.wallMs)
        return Change(put = Keys.stepDown(0), value = encodeRecord(StepDownRecord.serializer(), record))
    }

    private fun leadershipAt(revision: Long) = Condition(Keys.leadership(0), revision)
}
