package ledgearch.store

import ledgearch.config.StateLimits
import ledgearch.runtime.Clock
import ledgearch.runtime.Transport
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue
import ledgearch.wire.WatchReply
import org.slf4j.LoggerFactory

/**
 * This node's client of the state service, the platform's key-value store. Requests stay within the node's
 * share of the service's limits: they are queued until [sendAllowed] sends them. Each callback is called exactly once,
 * with the service's reply or a refusal by this node.
 */
internal class StoreClient(
    address: String,
    private val limits: StateLimits,
    nodeCount: Int,
    transport: Transport,
    clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.store")
    private val budget = RequestBudget(limits, nodeCount)
    private val queue = RequestQueue(address, budget, transport, clock)

    /** The steady-clock time of the service's last reply that was neither a refusal nor a rate limit error. */
    val lastReplyAtMs: Long get() = queue.lastReplyAtMs

    /** True if the service has refused this node and has not served it since. */
    val isRefused: Boolean get() = queue.isRefused

    /** Whether no request was ever passed over although it could be sent. */
    val isFair: Boolean get() = queue.passedOverCount == 0L

    /** The largest number of changes per transaction that stays within the service's limit at any time. */
    val maxChanges: Int get() = limits.safeTxnOps

    /** The largest number of conditions that this client puts into one transaction. */
    val maxConditions: Int get() = limits.safeTxnOps * StoreTuning.MAX_CONDITIONS_PER_CHANGE

    /** Sets the request budget to the share of the leader or of another node. */
    fun setBudgetShare(isLeader: Boolean) = budget.setShare(isLeader)

    /** Makes all [changes] if all [conditions] hold, and none otherwise. */
    fun transact(
        conditions: List<Condition>,
        changes: List<Change>,
        requestClass: RequestClass,
        done: (TransactionResult) -> Unit,
    ) = queue.add(requestClass, StoreRequest.transaction(conditions, changes)) { reply ->
        if (reply.status != StoreStatus.OK) {
            log.debug("transaction of {} changes failed with status {}: {}", changes.size, reply.status, reply.body)
        }
        done(StoreReplies.transaction(reply))
    }

    /** Reads [key]. */
    fun get(
        key: String,
        requestClass: RequestClass,
        done: (ReadResult<KeyValue>) -> Unit,
    ) = queue.add(requestClass, StoreRequest.get(key)) { reply ->
        done(StoreReplies.read(reply, KeyValue.serializer()))
    }

    /**
     * Reads a page of at most [limit] keys under [prefix] in key order, beginning after [afterKey] or, if null, at the
     * first.
     */
    fun list(
        prefix: String,
        afterKey: String?,
        requestClass: RequestClass,
        limit: Int = StoreTuning.KEYS_PER_PAGE,
        done: (ReadResult<KeyPage>) -> Unit,
    ) = queue.add(requestClass, StoreRequest.list(prefix, afterKey, limit)) { reply ->
        val page = StoreReplies.read(reply, KeyPage.serializer())
        done(if (lacksNextKey(page)) ReadResult.Failed else page)
    }

    /** Returns whether [page] is empty but not the last one, so that the following keys can't be requested. */
    private fun lacksNextKey(page: ReadResult<KeyPage>) =
        page is ReadResult.Found && page.value.hasNext && page.value.pairs.isEmpty()

    /** Opens a lease that expires after [StoreTuning.LEADER_LEASE_TTL_MS] unless it is kept alive. */
    fun openLease(done: (OpenLeaseResult) -> Unit) =
        queue.add(RequestClass.CRITICAL, StoreRequest.openLease()) { reply -> done(StoreReplies.openLease(reply)) }

    /** Renews the lease [leaseId]. */
    fun keepAlive(
        leaseId: Long,
        done: (KeepAliveResult) -> Unit,
    ) = queue.add(RequestClass.CRITICAL, StoreRequest.keepAlive(leaseId)) { reply ->
        done(StoreReplies.keepAlive(reply))
    }

    /**
     * Waits at most [blockMs] for changes of the keys under [prefix] after [revision]; [done] gets
     * [ReadResult.Absent] if [revision] is too old for the service.
     */
    fun watch(
        prefix: String,
        revision: Long,
        blockMs: Long = StoreTuning.WATCH_BLOCK_MS,
        done: (ReadResult<WatchReply>) -> Unit,
    ) = queue.add(RequestClass.CRITICAL, StoreRequest.watch(prefix, revision, blockMs)) { reply ->
        done(StoreReplies.read(reply, WatchReply.serializer()))
    }

    /** Returns the queued requests and the rates in force. */
    fun report() =
        StoreReport(
            isRefused,
            budget.usesLowerLimits,
            budget.requestsPerS,
            budget.changesPerS,
            queue.passedOverCount,
            queue.report(),
        )

    /** Sends as many queued requests as the budget allows; called after every batch of commands and on every tick. */
    fun sendAllowed() = queue.sendAllowed()
}
