package ledgearch.simulation

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import ledgearch.config.StateLimits
import ledgearch.http.Reply
import ledgearch.runtime.TokenBucket
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue
import ledgearch.wire.LeaseReply
import ledgearch.wire.LeaseRequest
import ledgearch.wire.Transaction
import ledgearch.wire.TransactionReply
import ledgearch.wire.WatchEvent
import ledgearch.wire.WatchReply
import ledgearch.wire.WireJson
import java.util.TreeMap
import kotlin.random.Random

/** The state service by its published protocol. */
internal class StateStandIn(
    private val clock: Clockwork,
    private val random: Random,
    private var limits: StateLimits,
) {
    private class Entry(
        val value: JsonElement,
        val modRevision: Long,
        val leaseId: Long?,
    )

    private class Change(
        val revision: Long,
        val key: String,
        val entry: Entry?,
    )

    private class Lease(
        val ttlMs: Long,
        var endsAt: Long,
    )

    private val keys = TreeMap<String, Entry>()
    private val history = ArrayList<Change>()
    private val leases = HashMap<Long, Lease>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var nextLeaseId = 1L
    var down = false
        private set

    /** ms. How late transactions that write are answered. */
    var slowMs = 0L

    /** ms. How late transactions that only compare are answered. */
    var slowCompareMs = 0L

    /** Share of the transactions that write which get no answer and are carried out 2 to 12 s later. */
    var lateShare = 0.0

    /** Share of the transactions that write which are carried out at once and get no answer. */
    var unansweredShare = 0.0

    /** Share of the pages of a listing that are empty though keys come after them. */
    var emptyPageShare = 0.0

    /**
     * Transactions that change a key with this prefix get no answer until [lateUntil], and are carried out [lateMs]
     * later.
     */
    private var latePrefix = ""
    private var lateMs = 0L
    private var lateUntil = 0L

    private val requests = TokenBucket(limits.rps)
    private val writes = TokenBucket(limits.writeRps)

    /** Transactions that were refused with 400 for their size, and requests that were refused with 429. */
    var tooLarge = 0
        private set
    var tooMany = 0
        private set

    /** Called after a transaction that changed such keys. */
    var onChanged: (keys: List<String>) -> Unit = {}

    /** Changes up to this revision are no longer told to watches. */
    private var forgotten = 0L

    /** Until when which controllers alone get 503; their open watches wait, and their leases run out. */
    private val refusedUntil = HashMap<String, Long>()

    private val blindUntil = HashMap<String, Long>()

    private class Watch(
        val node: String,
        val prefix: String,
        val since: Long,
        val answer: (Reply) -> Unit,
    ) {
        var open = true
    }

    fun keysUnder(prefix: String): List<String> = keys.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }

    /** From now on, without notice; what is stored stays readable. */
    fun limit(to: StateLimits) {
        limits = to
        requests.perSecond = to.rps
        writes.perSecond = to.writeRps
    }

    fun outage(begin: Boolean) {
        down = begin
        if (!begin) for (lease in leases.values) lease.endsAt = clock.now + lease.ttlMs
    }

    fun refuse(
        node: String,
        until: Long,
    ) {
        refusedUntil[node] = until
        clock.at(until + 1) { wake() }
    }

    fun late(
        prefix: String,
        ms: Long,
        until: Long,
    ) {
        latePrefix = prefix
        lateMs = ms
        lateUntil = until
    }

    fun forgetChanges() {
        forgotten = revision
        history.clear()
    }

    private fun isLate(transaction: Transaction) =
        clock.now < lateUntil && transaction.changes.any { (it.put ?: it.remove.orEmpty()).startsWith(latePrefix) }

    /** Answers to this controller's watches are lost until then. */
    fun blind(
        node: String,
        until: Long,
    ) {
        blindUntil[node] = until
    }

    /** Whether the limits on rates let a request with so many changes pass. */
    private fun passes(changes: Int): Boolean {
        requests.refill(clock.now)
        writes.refill(clock.now)
        if (!requests.has(1) || !writes.has(changes)) return false
        requests.take(1)
        writes.take(changes)
        return true
    }

    private fun isTooLarge(
        transaction: Transaction,
        body: String,
    ) = transaction.changes.size > limits.txnOps || transaction.conditions.size > limits.txnOps * CONDITIONS_A_CHANGE ||
        body.encodeToByteArray().size > TRANSACTION_BYTES ||
        transaction.changes.any {
            it.value
                .toString()
                .encodeToByteArray()
                .size > limits.valueKb * 1024
        }

    private fun isRefused(node: String) = (refusedUntil[node] ?: 0) > clock.now

    fun handle(
        from: String,
        method: String,
        target: String,
        body: String?,
        answer: (Reply) -> Unit,
    ) {
        if (down || isRefused(from)) return answer(Reply(503, ""))
        expireLeases()
        val path = target.substringBefore('?')
        val transaction = if (path == TXN) WireJson.decodeFromString(Transaction.serializer(), body.orEmpty()) else null
        val refusal = refusalByLimits(transaction, body.orEmpty())
        when {
            refusal != null -> answer(refusal)
            transaction != null -> transact(transaction, answer)
            path == LEASES || path.startsWith("$LEASES/") -> answer(leaseReply(path, body.orEmpty()))
            path == CHANGES -> watch(from, queryOf(target), answer)
            path == KEYS -> answer(page(queryOf(target)))
            method == "GET" && path.startsWith("$KEYS/") -> answer(get(path.removePrefix("$KEYS/")))
            else -> answer(Reply(400, "{}"))
        }
    }

    /** The answer to a request that the limits on rates or sizes refuse; otherwise none. */
    private fun refusalByLimits(
        transaction: Transaction?,
        body: String,
    ): Reply? {
        if (!passes(transaction?.changes?.size ?: 0)) {
            tooMany++
            return Reply(429, "")
        }
        if (transaction != null && isTooLarge(transaction, body)) {
            tooLarge++
            return Reply(400, """{"error":"too large"}""")
        }
        return null
    }

    private fun leaseReply(
        path: String,
        body: String,
    ) = if (path == LEASES) {
        newLease(WireJson.decodeFromString(LeaseRequest.serializer(), body).ttlMs)
    } else {
        renewedLease(path.split('/')[2].toLong())
    }

    private fun queryOf(target: String): Map<String, String> =
        target
            .substringAfter('?', "")
            .split('&')
            .filter { it.isNotEmpty() }
            .associate { it.substringBefore('=') to it.substringAfter('=') }

    /** Carries [transaction] out, at once or late, and answers at once, late or never. */
    private fun transact(
        transaction: Transaction,
        answer: (Reply) -> Unit,
    ) {
        when {
            transaction.changes.isEmpty() -> {
                answerAfter(slowCompareMs, execute(transaction), answer)
            }

            isLate(transaction) -> {
                carryOutLater(transaction, lateMs)
            }

            lateShare > 0 && random.nextDouble() < lateShare -> {
                carryOutLater(
                    transaction,
                    LATE_FROM_MS + random.nextLong(LATE_SPREAD_MS),
                )
            }

            unansweredShare > 0 && random.nextDouble() < unansweredShare -> {
                execute(transaction)
            }

            else -> {
                answerAfter(slowMs, execute(transaction), answer)
            }
        }
    }

    private fun answerAfter(
        ms: Long,
        reply: Reply,
        answer: (Reply) -> Unit,
    ) {
        if (ms == 0L) answer(reply) else clock.after(ms) { answer(reply) }
    }

    private fun newLease(ttlMs: Long): Reply {
        leases[nextLeaseId] = Lease(ttlMs, clock.now + ttlMs)
        clock.after(ttlMs + 1) { expireLeases() }
        return Reply(200, WireJson.encodeToString(LeaseReply.serializer(), LeaseReply(nextLeaseId++)))
    }

    private fun renewedLease(leaseId: Long): Reply {
        val lease = leases[leaseId] ?: return Reply(404, "{}")
        lease.endsAt = clock.now + lease.ttlMs
        clock.after(lease.ttlMs + 1) { expireLeases() }
        return Reply(200, "{}")
    }

    private fun carryOutLater(
        transaction: Transaction,
        ms: Long,
    ) {
        clock.after(ms) {
            // In an outage nothing is carried out; what was under way is once it is over.
            if (down) carryOutLater(transaction, ms) else execute(transaction)
        }
    }

    private fun get(key: String): Reply {
        val e = keys[key] ?: return Reply(404, """{"edition":$revision}""")
        return Reply(
            200,
            WireJson.encodeToString(KeyValue.serializer(), KeyValue(key, e.value, e.modRevision, e.leaseId)),
        )
    }

    private fun page(query: Map<String, String>): Reply {
        val prefix = query.getValue("under")
        val since = query["since"]
        val limit = query["limit"]?.toInt() ?: PAGE_SIZE
        val all = keysUnder(prefix).filter { since == null || it > since }
        if (all.isNotEmpty() && emptyPageShare > 0 && random.nextDouble() < emptyPageShare) {
            return Reply(200, WireJson.encodeToString(KeyPage.serializer(), KeyPage(emptyList(), true, revision)))
        }
        val pairs = all.take(limit).map { KeyValue(it, keys.getValue(it).value, keys.getValue(it).modRevision) }
        return Reply(200, WireJson.encodeToString(KeyPage.serializer(), KeyPage(pairs, all.size > limit, revision)))
    }

    private fun execute(transaction: Transaction): Reply {
        val failed = transaction.conditions.filter { (keys[it.key]?.modRevision ?: 0) != it.modRevision }.map { it.key }
        if (transaction.changes.any { it.leaseId != null && it.leaseId !in leases }) {
            return Reply(
                400,
                """{"error":"no such lease"}""",
            )
        }
        if (failed.isNotEmpty()) {
            return Reply(
                409,
                WireJson.encodeToString(TransactionReply.serializer(), TransactionReply(revision, failed)),
            )
        }
        if (transaction.changes.isNotEmpty()) {
            revision++
            for (c in transaction.changes) {
                val put = c.put
                val remove = c.remove
                if (put != null) {
                    set(put, Entry(c.value ?: JsonPrimitive(0), revision, c.leaseId))
                } else if (remove != null) {
                    set(remove, null)
                }
            }
            onChanged(transaction.changes.map { it.put ?: it.remove.orEmpty() })
            wake()
        }
        return Reply(200, WireJson.encodeToString(TransactionReply.serializer(), TransactionReply(revision)))
    }

    private fun set(
        key: String,
        entry: Entry?,
    ) {
        if (entry == null && key !in keys) return
        if (entry == null) keys.remove(key) else keys[key] = entry
        history.add(Change(revision, key, entry))
    }

    private fun expireLeases() {
        if (down) return
        val ended = leases.filterValues { it.endsAt < clock.now }.keys
        if (ended.isEmpty()) return
        leases.keys.removeAll(ended)
        val gone = keys.filterValues { it.leaseId in ended }.keys.toList()
        if (gone.isEmpty()) return
        revision++
        gone.forEach { set(it, null) }
        wake()
    }

    private fun watch(
        node: String,
        query: Map<String, String>,
        answer: (Reply) -> Unit,
    ) {
        val prefix = query.getValue("under")
        val since = query.getValue("since").toLong()
        val blockMs = query["blockMs"]?.toLong() ?: 0
        if (since < forgotten) return answer(Reply(410, "{}"))
        val w = Watch(node, prefix, since, answer)
        if (tryAnswer(w)) return
        watches.add(w)
        clock.after(blockMs) {
            if (w.open && !down && !isRefused(w.node)) finish(w, emptyList())
        }
    }

    /** The history is in the order of revisions. */
    private fun changesAfter(revision: Long): List<Change> {
        val index = history.binarySearchBy(revision + 1) { it.revision }
        var first = if (index < 0) -index - 1 else index
        while (first > 0 && history[first - 1].revision > revision) first--
        return history.subList(first, history.size)
    }

    private fun wake() = watches.toList().forEach { tryAnswer(it) }

    private fun tryAnswer(w: Watch): Boolean {
        if (isRefused(w.node)) return false
        val news = changesAfter(w.since).filter { it.key.startsWith(w.prefix) }
        if (news.isEmpty()) return false
        finish(w, news)
        return true
    }

    private fun finish(
        w: Watch,
        changes: List<Change>,
    ) {
        w.open = false
        watches.remove(w)
        val news =
            changes.map {
                if (it.entry !=
                    null
                ) {
                    WatchEvent(put = it.key, value = it.entry.value, modRevision = it.revision)
                } else {
                    WatchEvent(remove = it.key, modRevision = it.revision)
                }
            }
        if ((blindUntil[w.node] ?: 0) > clock.now) return
        w.answer(Reply(200, WireJson.encodeToString(WatchReply.serializer(), WatchReply(revision, news))))
    }

    /** A field of a stored value, for expectations. */
    fun field(
        key: String,
        name: String,
    ): String? = ((keys[key]?.value as? JsonObject)?.get(name))?.jsonPrimitive?.content

    /** A key as something else wrote it. */
    fun write(
        key: String,
        json: String,
    ) {
        revision++
        set(key, Entry(WireJson.parseToJsonElement(json), revision, null))
        wake()
    }

    /** Something else removes a key. */
    fun remove(key: String) {
        revision++
        set(key, null)
        wake()
    }

    fun value(key: String): JsonElement? = keys[key]?.value

    fun text(key: String) = keys[key]?.value.toString()

    fun modRevision(key: String): Long = keys[key]?.modRevision ?: 0

    private companion object {
        const val TXN = "/txn"
        const val LEASES = "/leases"
        const val CHANGES = "/changes"
        const val KEYS = "/keys"

        /** Keys on a page, unless the request names another limit. */
        const val PAGE_SIZE = 1000
        const val TRANSACTION_BYTES = 64 * 1024
        const val CONDITIONS_A_CHANGE = 4
        const val LATE_FROM_MS = 2_000L
        const val LATE_SPREAD_MS = 10_000L
    }
}
