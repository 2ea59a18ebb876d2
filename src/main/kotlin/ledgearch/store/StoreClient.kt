package ledgearch.store

import kotlinx.serialization.SerializationException
import ledgearch.config.StateLimits
import ledgearch.http.Reply
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.runtime.TokenBucket
import ledgearch.runtime.Transport
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue
import ledgearch.wire.LeaseReply
import ledgearch.wire.LeaseRequest
import ledgearch.wire.Transaction
import ledgearch.wire.TransactionReply
import ledgearch.wire.WatchReply
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

/** What became of a transaction. */
internal sealed interface TransactionResult {
    /** All its changes were made, at [revision]. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** The conditions on the keys in [failed] did not hold: nothing was changed. */
    data class Conflict(
        val failed: List<String>,
    ) : TransactionResult

    /** Surely not executed, and nothing to be gained by asking again at once: an outage, or no budget left. */
    data object Refused : TransactionResult

    /** Surely not executed, and never to be as it is: a value or the transaction is larger than the service takes. */
    data object TooLarge : TransactionResult

    /** The lease of a put is gone. */
    data object LeaseExpired : TransactionResult

    /** No answer: executed, or not, or yet to be. */
    data object Unknown : TransactionResult
}

/** What a read brought; [Failed] says nothing about the store. */
internal sealed interface ReadResult<out T> {
    data class Found<T>(
        val value: T,
    ) : ReadResult<T>

    data object Absent : ReadResult<Nothing>

    data object Failed : ReadResult<Nothing>
}

/** Critical requests are sent before ordinary ones, and are never refused here for a pause. */
internal enum class RequestClass { CRITICAL, ORDINARY }

/**
 * Requests to the state service within this node's part of its limits. What doesn't fit waits in a lane,
 * vital ones first; what has waited too long is refused.
 */
internal class StoreClient(
    private val address: String,
    private val limits: StateLimits,
    private val nodes: Int,
    private val transport: Transport,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.state")

    private class Waiting(
        val writes: Int,
        val since: Long,
        val method: String,
        val target: String,
        val body: String?,
        val timeoutMs: Long,
        val done: (Reply) -> Unit,
    )

    private val requests = TokenBucket(limits.rps)
    private val writes = TokenBucket(limits.writeRps)
    private var isLeader = false

    /** The service has shown that it keeps to the lower rates of the settings by now. */
    private var lowered = false
    private val lanes = RequestClass.entries.associateWith { ArrayDeque<Waiting>() }
    private var pausedUntil = Long.MIN_VALUE

    /** When the service last answered anything but a refusal (steady ms). */
    var lastAnswer = Long.MIN_VALUE / 2
        private set

    /** Its last word was that it refuses this node. */
    var refuses = false
        private set
    private var refusedUntil = Long.MIN_VALUE

    init {
        share(leader = false)
    }

    /** The leader of the block writes most and gets the larger part of the budget. */
    fun share(leader: Boolean) {
        isLeader = leader
        val part =
            when {
                nodes <= 1 -> 1.0
                leader -> StoreTuning.LEADER_SHARE
                else -> (1 - StoreTuning.LEADER_SHARE) / (nodes - 1)
            }
        requests.perSecond = (if (lowered) limits.lowerRps else limits.rps) * RuntimeTuning.BUDGET_USED * part
        writes.perSecond = (if (lowered) limits.lowerWriteRps else limits.writeRps) * RuntimeTuning.BUDGET_USED * part
    }

    /**
     * A request with so many changes got 429. The limits are lowered without notice, so this is the sign of it where a
     * lower one can be the reason; the lower rates then hold as long as the process lives. Taken in error, they only
     * cost time.
     */
    private fun overRate(changes: Int) {
        pausedUntil = clock.steadyMs + StoreTuning.STATE_RETRY_MS
        val byWrites = changes > 0 && limits.lowerWriteRps < limits.writeRps
        if (lowered || !(byWrites || limits.lowerRps < limits.rps)) return
        lowered = true
        log.info(
            "the state service's limits seem to be lowered; {} changes a second are planned for",
            limits.lowerWriteRps,
        )
        share(isLeader)
    }

    val maxChanges: Int get() = limits.safeTxnOps
    val maxConditions: Int get() = limits.safeTxnOps * 4

    fun transact(
        conditions: List<Condition>,
        changes: List<Change>,
        requestClass: RequestClass,
        done: (TransactionResult) -> Unit,
    ) {
        val body = WireJson.encodeToString(Transaction.serializer(), Transaction(conditions, changes))
        enqueue(
            requestClass,
            changes.size,
            "POST",
            "/txn",
            body,
            if (changes.isEmpty()) StoreTuning.COMPARE_MS else StoreTuning.TRANSACTION_MS,
        ) { reply ->
            if (reply.status !=
                200
            ) {
                log.debug("transaction of {} changes got {} {}", changes.size, reply.status, reply.body)
            }
            done(
                when (reply.status) {
                    200 -> {
                        parse(
                            reply,
                        ) {
                            WireJson.decodeFromString(
                                TransactionReply.serializer(),
                                it,
                            )
                        }?.let { TransactionResult.Committed(it.revision) }
                            ?: TransactionResult.Unknown
                    }

                    409 -> {
                        parse(
                            reply,
                        ) {
                            WireJson.decodeFromString(
                                TransactionReply.serializer(),
                                it,
                            )
                        }?.let { TransactionResult.Conflict(it.failed) }
                            ?: TransactionResult.Refused
                    }

                    400 -> {
                        if ("no such lease" in
                            reply.body
                        ) {
                            TransactionResult.LeaseExpired
                        } else {
                            TransactionResult.TooLarge
                        }
                    }

                    0 -> {
                        TransactionResult.Unknown
                    }

                    else -> {
                        TransactionResult.Refused
                    }
                },
            )
        }
    }

    fun get(
        key: String,
        requestClass: RequestClass,
        done: (ReadResult<KeyValue>) -> Unit,
    ) = enqueue(requestClass, 0, "GET", "/keys/$key", null, StoreTuning.STATE_MS) {
        read(it, done) { text -> WireJson.decodeFromString(KeyValue.serializer(), text) }
    }

    fun list(
        prefix: String,
        since: String?,
        requestClass: RequestClass,
        done: (ReadResult<KeyPage>) -> Unit,
    ) {
        val after = if (since == null) "" else "&since=$since"
        enqueue(
            requestClass,
            0,
            "GET",
            "/keys?under=$prefix$after&limit=${StoreTuning.PAGE}",
            null,
            StoreTuning.STATE_PAGE_MS,
        ) {
            read(it, { page -> done(page.takeUnless(::endsNowhere) ?: ReadResult.Failed) }) { text ->
                WireJson.decodeFromString(KeyPage.serializer(), text)
            }
        }
    }

    /** An empty page that is not the last leaves no key to go on from, and what comes after it is not absent. */
    private fun endsNowhere(page: ReadResult<KeyPage>) =
        page is ReadResult.Found && page.value.hasNext && page.value.pairs.isEmpty()

    fun openLease(done: (Long?) -> Unit) =
        enqueue(
            RequestClass.CRITICAL,
            0,
            "POST",
            "/leases",
            WireJson.encodeToString(LeaseRequest.serializer(), LeaseRequest(StoreTuning.LEASE_MS)),
            StoreTuning.STATE_MS,
        ) { reply ->
            done(
                if (reply.status ==
                    200
                ) {
                    parse(reply) { WireJson.decodeFromString(LeaseReply.serializer(), it).leaseId }
                } else {
                    null
                },
            )
        }

    /** [done] gets true when renewed, false when the lease is gone, null when nothing is known. */
    fun keepAlive(
        leaseId: Long,
        done: (Boolean?) -> Unit,
    ) = enqueue(RequestClass.CRITICAL, 0, "POST", "/leases/$leaseId/touch", "{}", StoreTuning.STATE_MS) { reply ->
        done(
            when (reply.status) {
                200 -> true
                404 -> false
                else -> null
            },
        )
    }

    /** [done] gets [ReadResult.Absent] when [since] is too old for the service. */
    fun watch(
        prefix: String,
        since: Long,
        done: (ReadResult<WatchReply>) -> Unit,
    ) = enqueue(
        RequestClass.CRITICAL,
        0,
        "GET",
        "/changes?under=$prefix&since=$since&blockMs=${StoreTuning.WATCH_MS}",
        null,
        StoreTuning.WATCH_MS + StoreTuning.WATCH_GRACE_MS,
    ) {
        read(it, done) { text -> WireJson.decodeFromString(WatchReply.serializer(), text) }
    }

    /** Sends what the budget allows; called after every batch and on every tick. */
    fun pump() {
        requests.refill(clock.steadyMs)
        writes.refill(clock.steadyMs)
        for ((requestClass, queue) in lanes) {
            while (queue.isNotEmpty()) {
                val next = queue.first()
                if (clock.steadyMs - next.since > StoreTuning.STATE_MS) {
                    queue.removeFirst()
                    next.done(Reply(429, ""))
                    continue
                }
                // It has just refused: whoever waits on this is told at once, and the budget is left to what finds out
                // its end.
                if (requestClass != RequestClass.CRITICAL && refuses && clock.steadyMs < refusedUntil) {
                    queue.removeFirst()
                    next.done(Reply(503, ""))
                    continue
                }
                if (requestClass != RequestClass.CRITICAL && clock.steadyMs < pausedUntil) return
                if (!requests.has(1) || !writes.has(next.writes)) return
                queue.removeFirst()
                requests.take(1)
                writes.take(next.writes)
                transport.call(address, next.method, next.target, next.body, next.timeoutMs) { reply ->
                    when (reply.status) {
                        200, 400, 404, 409, 410 -> {
                            lastAnswer = clock.steadyMs
                            refuses = false
                        }

                        503 -> {
                            refuses = true
                            refusedUntil = clock.steadyMs + StoreTuning.STATE_RETRY_MS
                        }

                        429 -> {
                            overRate(next.writes)
                        }
                    }
                    next.done(reply)
                }
            }
        }
    }

    private fun enqueue(
        requestClass: RequestClass,
        writes: Int,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        done: (Reply) -> Unit,
    ) {
        lanes.getValue(requestClass).addLast(Waiting(writes, clock.steadyMs, method, target, body, timeoutMs, done))
    }

    private inline fun <T> read(
        reply: Reply,
        done: (ReadResult<T>) -> Unit,
        decode: (String) -> T,
    ) = done(
        when (reply.status) {
            200 -> parse(reply, decode)?.let { ReadResult.Found(it) } ?: ReadResult.Failed
            404, 410 -> ReadResult.Absent
            else -> ReadResult.Failed
        },
    )

    private inline fun <T> parse(
        reply: Reply,
        decode: (String) -> T,
    ): T? =
        try {
            decode(reply.body)
        } catch (_: SerializationException) {
            null
        }
}
