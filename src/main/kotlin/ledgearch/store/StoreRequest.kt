package ledgearch.store

import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.LeaseRequest
import ledgearch.wire.Transaction
import ledgearch.wire.WireJson

/**
 * One call to the state service as it goes on the wire. [changeCount] counts against the limit on changes a second;
 * [timeoutMs] is how long the answer is waited for.
 */
internal class StoreRequest private constructor(
    val method: String,
    val target: String,
    val body: String?,
    val timeoutMs: Long,
    val changeCount: Int = 0,
) {
    companion object {
        private const val GET = "GET"
        private const val POST = "POST"

        /** Makes [changes] if all [conditions] hold. */
        fun transaction(
            conditions: List<Condition>,
            changes: List<Change>,
        ): StoreRequest {
            val body = WireJson.encodeToString(Transaction.serializer(), Transaction(conditions, changes))
            val timeoutMs =
                if (changes.isEmpty()) StoreTuning.COMPARE_TIMEOUT_MS else StoreTuning.TRANSACTION_TIMEOUT_MS
            return StoreRequest(POST, "/txn", body, timeoutMs, changes.size)
        }

        /** Reads one key. */
        fun key(key: String) = StoreRequest(GET, "/keys/$key", null, StoreTuning.REQUEST_TIMEOUT_MS)

        /** Reads a page of the keys under [prefix], from the first one after [since] (null: from the start). */
        fun page(
            prefix: String,
            since: String?,
        ): StoreRequest {
            val after = if (since == null) "" else "&since=$since"
            val target = "/keys?under=$prefix$after&limit=${StoreTuning.PAGE_KEYS}"
            return StoreRequest(GET, target, null, StoreTuning.PAGE_TIMEOUT_MS)
        }

        /** Opens a lease. */
        fun openLease(): StoreRequest {
            val body = WireJson.encodeToString(LeaseRequest.serializer(), LeaseRequest(StoreTuning.LEADER_LEASE_MS))
            return StoreRequest(POST, "/leases", body, StoreTuning.REQUEST_TIMEOUT_MS)
        }

        /** Keeps the lease [leaseId] alive. */
        fun keepAlive(leaseId: Long) =
            StoreRequest(POST, "/leases/$leaseId/touch", "{}", StoreTuning.REQUEST_TIMEOUT_MS)

        /** Waits for changes after the revision [since] of the keys under [prefix]. */
        fun watch(
            prefix: String,
            since: Long,
        ): StoreRequest {
            val target = "/changes?under=$prefix&since=$since&blockMs=${StoreTuning.WATCH_BLOCK_MS}"
            return StoreRequest(GET, target, null, StoreTuning.WATCH_BLOCK_MS + StoreTuning.WATCH_GRACE_MS)
        }
    }
}
