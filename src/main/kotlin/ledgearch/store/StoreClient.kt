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
 * This node's client of the state service. Requests stay within the node's share of the service's limits: they wait in
 * a queue until [pump] sends them, and each callback is called once, with the answer or a refusal.
 */
internal class StoreClient(
    address: String,
    private val limits: StateLimits,
    nodes: Int,
    transport: Transport,
    clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.store")
    private val budget = RequestBudget(limits, nodes)
    private val queue = RequestQueue(address, budget, transport, clock)

    /** Steady ms at which the service last answered anything but a refusal. */
    val lastAnswerAt: Long get() = queue.lastAnswerAt

    /** The service's last word was that it refuses this node. */
    val isRefused: Boolean get() = queue.isRefused

    /** Changes. A transaction of so many is within the service's limit at any time. */
    val maxChanges: Int get() = limits.safeTxnOps

    /** Conditions. This client puts no more into one transaction. */
    val maxConditions: Int get() = limits.safeTxnOps * StoreTuning.CONDITIONS_PER_CHANGE

    /** Sets the budget to the share of the leader or of another node. */
    fun setBudgetShare(leader: Boolean) = budget.share(leader)

    /** Makes all of [changes] if all of [conditions] hold, and none of them otherwise. */
    fun transact(
        conditions: List<Condition>,
        changes: List<Change>,
        requestClass: RequestClass,
        done: (TransactionResult) -> Unit,
    ) = queue.add(requestClass, StoreRequest.transaction(conditions, changes)) { reply ->
        if (reply.status != StoreStatus.OK) {
            log.debug(
                "a transaction of {} changes was answered with status {}: {}",
                changes.size,
                reply.status,
                reply.body,
            )
        }
        done(StoreReplies.transaction(reply))
    }

    /** Reads [key]. */
    fun get(
        key: String,
        requestClass: RequestClass,
        done: (ReadResult<KeyValue>) -> Unit,
    ) = queue.add(requestClass, StoreRequest.key(key)) { reply ->
        done(StoreReplies.read(reply, KeyValue.serializer()))
    }

    /** Reads a page of the keys under [prefix] in order, from the first one after [since] (null: from the start). */
    fun list(
        prefix: String,
        since: String?,
        requestClass: RequestClass,
        done: (ReadResult<KeyPage>) -> Unit,
    ) = queue.add(requestClass, StoreRequest.page(prefix, since)) { reply ->
        val page = StoreReplies.read(reply, KeyPage.serializer())
        done(if (endsNowhere(page)) ReadResult.Failed else page)
    }

    /** An empty page that is not the last leaves no key to go on from, and what comes after it is not absent. */
    private fun endsNowhere(page: ReadResult<KeyPage>) =
        page is ReadResult.Found && page.value.hasNext && page.value.pairs.isEmpty()

    /** Opens a lease that lives for [StoreTuning.LEADER_LEASE_MS] unless it is kept alive. */
    fun openLease(done: (OpenLeaseResult) -> Unit) =
        queue.add(RequestClass.CRITICAL, StoreRequest.openLease()) { reply -> done(StoreReplies.openLease(reply)) }

    /** Keeps the lease [leaseId] alive. */
    fun keepAlive(
        leaseId: Long,
        done: (KeepAliveResult) -> Unit,
    ) = queue.add(RequestClass.CRITICAL, StoreRequest.keepAlive(leaseId)) { reply ->
        done(StoreReplies.keepAlive(reply))
    }

    /**
     * Waits for changes after the revision [since] of the keys under [prefix]; [done] gets [ReadResult.Absent] when
     * [since] is too old for the service.
     */
    fun watch(
        prefix: String,
        since: Long,
        done: (ReadResult<WatchReply>) -> Unit,
    ) = queue.add(RequestClass.CRITICAL, StoreRequest.watch(prefix, since)) { reply ->
        done(StoreReplies.read(reply, WatchReply.serializer()))
    }

    /** Sends what the budget allows; called after every batch of commands and on every tick. */
    fun pump() = queue.pump()
}
