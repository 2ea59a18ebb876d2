package ledgearch.simulation.store

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import ledgearch.config.StateLimits
import ledgearch.http.Reply
import ledgearch.simulation.SimulatedClock
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue
import ledgearch.wire.LeaseRequest
import ledgearch.wire.Transaction
import ledgearch.wire.TransactionReply
import ledgearch.wire.WireJson
import kotlin.random.Random

/** Fake of the state service by its published protocol. */
internal class FakeStore(
    private val clock: SimulatedClock,
    random: Random,
    limits: StateLimits,
) {
    private val keys = StoreKeys()
    private val leases = StoreLeases(clock, { isDown }, ::removeKeysOfLeases)
    val rateLimits = StoreRateLimits(clock, limits)
    val faults = StoreFaults(clock, random)
    private val watches = StoreWatches(clock, keys, faults)
    val isDown: Boolean get() = faults.isDown

    /** Called after a transaction with the keys that it changed. */
    var onChanged: (keys: List<String>) -> Unit = {}

    fun beginOutage() {
        faults.isDown = true
    }

    fun endOutage() {
        faults.isDown = false
        leases.renewAll()
    }

    /** Refuses the requests of [node], see [StoreFaults.refuse]. Its watches get replies again when that ends. */
    fun refuse(
        node: String,
        untilMs: Long,
    ) {
        faults.refuse(node, untilMs)
        clock.at(untilMs + 1) { watches.replyWithChanges() }
    }

    fun handle(
        from: String,
        method: String,
        target: String,
        body: String?,
        onReply: (Reply) -> Unit,
    ) {
        if (isDown || faults.isRefused(from)) return onReply(Reply(503, ""))
        leases.expire()
        val path = target.substringBefore('?')
        val transaction = if (path == TXN) WireJson.decodeFromString(Transaction.serializer(), body.orEmpty()) else null
        val refusal = rateLimits.refusalOf(transaction, body.orEmpty())
        when {
            refusal != null -> onReply(refusal)
            transaction != null -> transact(transaction, onReply)
            path == LEASES || path.startsWith("$LEASES/") -> onReply(leaseReply(path, body.orEmpty()))
            path == CHANGES -> watches.watch(from, queryOf(target), onReply)
            path == KEYS -> onReply(page(queryOf(target)))
            method == "GET" && path.startsWith("$KEYS/") -> onReply(get(path.removePrefix("$KEYS/")))
            else -> onReply(Reply(400, "{}"))
        }
    }

    private fun leaseReply(
        path: String,
        body: String,
    ) = if (path == LEASES) {
        leases.create(WireJson.decodeFromString(LeaseRequest.serializer(), body).ttlMs)
    } else {
        leases.renew(path.split('/')[2].toLong())
    }

    private fun queryOf(target: String): Map<String, String> =
        target
            .substringAfter('?', "")
            .split('&')
            .filter { it.isNotEmpty() }
            .associate { it.substringBefore('=') to it.substringAfter('=') }

    /** Executes [transaction] at once or late, and replies at once, late or never. */
    private fun transact(
        transaction: Transaction,
        onReply: (Reply) -> Unit,
    ) {
        if (transaction.changes.isEmpty()) {
            return replyAfter(faults.comparisonReplyDelayMs, execute(transaction), onReply)
        }
        val delayMs = faults.drawExecutionDelayMs(transaction)
        when {
            delayMs != null -> executeLater(transaction, delayMs)
            faults.drawLostReply() -> execute(transaction)
            else -> replyAfter(faults.writeReplyDelayMs, execute(transaction), onReply)
        }
    }

    private fun replyAfter(
        delayMs: Long,
        reply: Reply,
        onReply: (Reply) -> Unit,
    ) {
        if (delayMs == 0L) onReply(reply) else clock.after(delayMs) { onReply(reply) }
    }

    private fun executeLater(
        transaction: Transaction,
        delayMs: Long,
    ) {
        clock.after(delayMs) {
            // Nothing is executed during an outage; a pending transaction is executed after it.
            if (isDown) executeLater(transaction, delayMs) else execute(transaction)
        }
    }

    private fun execute(transaction: Transaction): Reply {
        val failedKeys = transaction.conditions.filter { keys.modRevision(it.key) != it.modRevision }.map { it.key }
        if (transaction.changes.any { change -> change.leaseId?.let { it !in leases } == true }) {
            return Reply(400, """{"error":"no such lease"}""")
        }
        if (failedKeys.isNotEmpty()) {
            return reply(409, TransactionReply.serializer(), TransactionReply(keys.revision, failedKeys))
        }
        if (transaction.changes.isNotEmpty()) apply(transaction)
        return reply(200, TransactionReply.serializer(), TransactionReply(keys.revision))
    }

    private fun apply(transaction: Transaction) {
        keys.nextRevision()
        for (change in transaction.changes) {
            val put = change.put
            val remove = change.remove
            if (put != null) {
                keys.put(put, change.value ?: JsonPrimitive(0), change.leaseId)
            } else if (remove != null) {
                keys.remove(remove)
            }
        }
        onChanged(transaction.changes.map { it.put ?: it.remove.orEmpty() })
        watches.replyWithChanges()
    }

    private fun get(key: String): Reply {
        val entry = keys[key] ?: return Reply(404, """{"edition":${keys.revision}}""")
        return reply(200, KeyValue.serializer(), KeyValue(key, entry.value, entry.modRevision, entry.leaseId))
    }

    private fun page(query: Map<String, String>): Reply {
        val since = query["since"]
        val limit = query["limit"]?.toInt() ?: DEFAULT_PAGE_SIZE
        val all = keys.withPrefix(query.getValue("under")).filter { since == null || it > since }
        if (all.isNotEmpty() && faults.drawEmptyPage()) return pageReply(emptyList(), hasMore = true)
        return pageReply(all.take(limit), all.size > limit)
    }

    private fun pageReply(
        listed: List<String>,
        hasMore: Boolean,
    ): Reply {
        val entries = listed.map { KeyValue(it, checkNotNull(value(it)), modRevision(it)) }
        return reply(200, KeyPage.serializer(), KeyPage(entries, hasMore, keys.revision))
    }

    private fun <T> reply(
        status: Int,
        serializer: KSerializer<T>,
        content: T,
    ) = Reply(status, WireJson.encodeToString(serializer, content))

    private fun removeKeysOfLeases(leaseIds: Set<Long>) {
        val keysOfLeases = keys.ofLeases(leaseIds)
        if (keysOfLeases.isEmpty()) return
        keys.nextRevision()
        keysOfLeases.forEach(keys::remove)
        watches.replyWithChanges()
    }

    // --- Access for scenarios and invariants ------------------------------------------------------------------------

    /** Writes a key as another client would. */
    fun write(
        key: String,
        json: String,
    ) {
        keys.nextRevision()
        keys.put(key, WireJson.parseToJsonElement(json), null)
        watches.replyWithChanges()
    }

    /**
     * Compacts the history. Watches behind the current revision are refused, so that their clients list the keys again.
     */
    fun compact() = keys.compact()

    fun keysUnder(prefix: String): List<String> = keys.withPrefix(prefix)

    /** Returns a field of a stored value, or null. */
    fun field(
        key: String,
        name: String,
    ): String? = (value(key) as? JsonObject)?.get(name)?.jsonPrimitive?.content

    fun value(key: String): JsonElement? = keys[key]?.value

    fun text(key: String) = value(key).toString()

    fun modRevision(key: String): Long = keys.modRevision(key)

    companion object {
        /** The key of the leadership record. */
        const val LEADERSHIP_KEY = "w/g/0"
        private const val TXN = "/txn"
        private const val LEASES = "/leases"
        private const val CHANGES = "/changes"
        private const val KEYS = "/keys"

        private const val DEFAULT_PAGE_SIZE = 1000
    }
}
