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

/** A fake of the state service, by its published protocol. */
internal class FakeStore(
    private val clock: SimulatedClock,
    random: Random,
    limits: StateLimits,
) {
    private val keys = StoreKeys()
    private val leases = StoreLeases(clock, { isDown }, ::removeKeysOf)
    val rateLimits = StoreRateLimits(clock, limits)
    val faults = StoreFaults(clock, random)
    private val watches = StoreWatches(clock, keys, faults)
    val isDown: Boolean get() = faults.isDown

    /** Called after a transaction that changed such keys. */
    var onChanged: (keys: List<String>) -> Unit = {}

    fun beginOutage() {
        faults.isDown = true
    }

    fun endOutage() {
        faults.isDown = false
        leases.renewAll()
    }

    /** See [StoreFaults.refuse]; once that is over, the node's watches are answered again. */
    fun refuse(
        node: String,
        until: Long,
    ) {
        faults.refuse(node, until)
        clock.at(until + 1) { watches.wake() }
    }

    fun handle(
        from: String,
        method: String,
        target: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        if (isDown || faults.isRefused(from)) return answer(Reply(503, ""))
        leases.expire()
        val path = target.substringBefore('?')
        val transaction = if (path == TXN) WireJson.decodeFromString(Transaction.serializer(), body.orEmpty()) else null
        val refusal = rateLimits.refusal(transaction, body.orEmpty())
        when {
            refusal != null -> answer(refusal)
            transaction != null -> transact(transaction, answer)
            path == LEASES || path.startsWith("$LEASES/") -> answer(leaseReply(path, body.orEmpty()))
            path == CHANGES -> watches.watch(from, queryOf(target), answer)
            path == KEYS -> answer(page(queryOf(target)))
            method == "GET" && path.startsWith("$KEYS/") -> answer(get(path.removePrefix("$KEYS/")))
            else -> answer(Reply(400, "{}"))
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

    /** Executes [transaction], at once or late, and answers at once, late or never. */
    private fun transact(
        transaction: Transaction,
        answer: (Reply) -> Unit,
    ) {
        if (transaction.changes.isEmpty()) return answerAfter(faults.slowCompareMs, execute(transaction), answer)
        val delayMs = faults.executionDelayMs(transaction)
        when {
            delayMs != null -> executeLater(transaction, delayMs)
            faults.losesAnswer() -> execute(transaction)
            else -> answerAfter(faults.slowMs, execute(transaction), answer)
        }
    }

    private fun answerAfter(
        ms: Long,
        reply: Reply,
        answer: (Reply) -> Unit,
    ) {
        if (ms == 0L) answer(reply) else clock.after(ms) { answer(reply) }
    }

    private fun executeLater(
        transaction: Transaction,
        ms: Long,
    ) {
        clock.after(ms) {
            // In an outage nothing is executed; what was under way is once it is over.
            if (isDown) executeLater(transaction, ms) else execute(transaction)
        }
    }

    private fun execute(transaction: Transaction): Reply {
        val failed = transaction.conditions.filter { keys.modRevision(it.key) != it.modRevision }.map { it.key }
        if (transaction.changes.any { change -> change.leaseId?.let { it !in leases } == true }) {
            return Reply(400, """{"error":"no such lease"}""")
        }
        if (failed.isNotEmpty()) {
            return reply(409, TransactionReply.serializer(), TransactionReply(keys.revision, failed))
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
        watches.wake()
    }

    private fun get(key: String): Reply {
        val entry = keys[key] ?: return Reply(404, """{"edition":${keys.revision}}""")
        return reply(200, KeyValue.serializer(), KeyValue(key, entry.value, entry.modRevision, entry.leaseId))
    }

    private fun page(query: Map<String, String>): Reply {
        val since = query["since"]
        val limit = query["limit"]?.toInt() ?: PAGE_SIZE
        val all = keys.under(query.getValue("under")).filter { since == null || it > since }
        if (all.isNotEmpty() && faults.emptiesPage()) return pageReply(emptyList(), more = true)
        return pageReply(all.take(limit), all.size > limit)
    }

    private fun pageReply(
        listed: List<String>,
        more: Boolean,
    ): Reply {
        val entries = listed.map { KeyValue(it, checkNotNull(value(it)), modRevision(it)) }
        return reply(200, KeyPage.serializer(), KeyPage(entries, more, keys.revision))
    }

    private fun <T> reply(
        status: Int,
        serializer: KSerializer<T>,
        content: T,
    ) = Reply(status, WireJson.encodeToString(serializer, content))

    private fun removeKeysOf(leaseIds: Set<Long>) {
        val ended = keys.ofLeases(leaseIds)
        if (ended.isEmpty()) return
        keys.nextRevision()
        ended.forEach(keys::remove)
        watches.wake()
    }

    // --- For scenarios and checks ---------------------------------------------------------------------------------

    /** A key as something else wrote it. */
    fun write(
        key: String,
        json: String,
    ) {
        keys.nextRevision()
        keys.put(key, WireJson.parseToJsonElement(json), null)
        watches.wake()
    }

    /** Watches that are behind the present revision are refused: they have to list their keys anew. */
    fun compact() = keys.compact()

    fun keysUnder(prefix: String): List<String> = keys.under(prefix)

    /** A field of a stored value. */
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

        /** Keys on a page, unless the request names another limit. */
        private const val PAGE_SIZE = 1000
    }
}
