package ledgearch.store

import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.LeaseRequest
import ledgearch.wire.Transaction
import ledgearch.wire.WireJson

/**
 * An HTTP request to the state service. [timeoutMs] is the time to wait for the reply, [kind] what it does, and
 * [changeCount] the number of changes that count against the limit on changes per second.
 */
internal class StoreRequest private constructor(
    val method: String,
    val target: String,
    val body: String?,
    val timeoutMs: Long,
    val kind: StoreRequestKind,
    val changeCount: Int = 0,
) {
    companion object {
        private const val GET = "GET"
        private const val POST = "POST"

        /** Creates a request to make [changes] if all [conditions] hold. */
        fun transaction(
            conditions: List<Condition>,
            changes: List<Change>,
        ): StoreRequest {
            val body = WireJson.encodeToString(Transaction.serializer(), Transaction(conditions, changes))
            return if (changes.isEmpty()) {
                StoreRequest(POST, "/txn", body, StoreTuning.COMPARE_TIMEOUT_MS, StoreRequestKind.COMPARE)
            } else {
                StoreRequest(
                    POST,
                    "/txn",
                    body,
                    StoreTuning.TRANSACTION_TIMEOUT_MS,
                    StoreRequestKind.WRITE,
                    changes.size,
                )
            }
        }

        /** Creates a request to read [key]. */
        fun get(key: String) =
            StoreRequest(GET, "/keys/$key", null, StoreTuning.REQUEST_TIMEOUT_MS, StoreRequestKind.READ)

        /** Creates a request for [limit] keys under [prefix] after [afterKey] or, if null, from the first. */
        fun list(
            prefix: String,
            afterKey: String?,
            limit: Int,
        ): StoreRequest {
            val since = if (afterKey == null) "" else "&since=$afterKey"
            val target = "/keys?under=$prefix$since&limit=$limit"
            return StoreRequest(GET, target, null, StoreTuning.PAGE_TIMEOUT_MS, StoreRequestKind.LIST)
        }

        /** Creates a request to open a lease. */
        fun openLease(): StoreRequest {
            val body = WireJson.encodeToString(LeaseRequest.serializer(), LeaseRequest(StoreTuning.LEADER_LEASE_TTL_MS))
            return StoreRequest(POST, "/leases", body, StoreTuning.REQUEST_TIMEOUT_MS, StoreRequestKind.LEASE)
        }

        /** Creates a request to renew the lease [leaseId]. */
        fun keepAlive(leaseId: Long) =
            StoreRequest(
                POST,
                "/leases/$leaseId/touch",
                "{}",
                StoreTuning.REQUEST_TIMEOUT_MS,
                StoreRequestKind.LEASE,
            )

        /** Creates a request to wait at most [blockMs] for changes of the keys under [prefix] after [revision]. */
        fun watch(
            prefix: String,
            revision: Long,
            blockMs: Long,
        ): StoreRequest {
            val target = "/changes?under=$prefix&since=$revision&blockMs=$blockMs"
            val timeoutMs = blockMs + StoreTuning.WATCH_REPLY_GRACE_MS
            return StoreRequest(GET, target, null, timeoutMs, StoreRequestKind.WATCH)
        }
    }
}
