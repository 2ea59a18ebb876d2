package ledgearch.simulation

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonPrimitive
import ledgearch.config.StateLimits
import ledgearch.http.Reply
import ledgearch.state.TokenBucket
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue
import ledgearch.wire.LeaseReply
import ledgearch.wire.LeaseRequest
import ledgearch.wire.News
import ledgearch.wire.NewsPage
import ledgearch.wire.Txn
import ledgearch.wire.TxnReply
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
        val v: JsonElement,
        val stamp: Long,
        val permit: Long?,
    )

    private class Change(
        val edition: Long,
        val key: String,
        val entry: Entry?,
    )

    private class Lease(
        val lifeMs: Long,
        var endsAt: Long,
    )

    private val keys = TreeMap<String, Entry>()
    private val history = ArrayList<Change>()
    private val leases = HashMap<Long, Lease>()
    private val watches = ArrayList<Watch>()
    private var edition = 0L
    private var nextPermit = 1L
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
        if (!begin) for (lease in leases.values) lease.endsAt = clock.now + lease.lifeMs
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
        forgotten = edition
        history.clear()
    }

    private fun isLate(txn: Txn) =
        clock.now < lateUntil && txn.then.any { (it.put ?: it.remove.orEmpty()).startsWith(latePrefix) }

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
        txn: Txn,
        body: String,
    ) = txn.then.size > limits.txnOps || txn.`if`.size > limits.txnOps * CONDITIONS_A_CHANGE ||
        body.encodeToByteArray().size > TXN_BYTES ||
        txn.then.any {
            it.v
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
        val txn = if (path == TXN) WireJson.decodeFromString(Txn.serializer(), body.orEmpty()) else null
        val refusal = refusalByLimits(txn, body.orEmpty())
        when {
            refusal != null -> answer(refusal)
            txn != null -> transact(txn, answer)
            path == LEASES || path.startsWith("$LEASES/") -> answer(leaseReply(path, body.orEmpty()))
            path == CHANGES -> watch(from, queryOf(target), answer)
            path == KEYS -> answer(page(queryOf(target)))
            method == "GET" && path.startsWith("$KEYS/") -> answer(get(path.removePrefix("$KEYS/")))
            else -> answer(Reply(400, "{}"))
        }
    }

    /** The answer to a request that the limits on rates or sizes refuse; otherwise none. */
    private fun refusalByLimits(
        txn: Txn?,
        body: String,
    ): Reply? {
        if (!passes(txn?.then?.size ?: 0)) {
            tooMany++
            return Reply(429, "")
        }
        if (txn != null && isTooLarge(txn, body)) {
            tooLarge++
            return Reply(400, """{"error":"too large"}""")
        }
        return null
    }

    private fun leaseReply(
        path: String,
        body: String,
    ) = if (path == LEASES) {
        newLease(WireJson.decodeFromString(LeaseRequest.serializer(), body).lifeMs)
    } else {
        renewedLease(path.split('/')[2].toLong())
    }

    private fun queryOf(target: String): Map<String, String> =
        target
            .substringAfter('?', "")
            .split('&')
            .filter { it.isNotEmpty() }
            .associate { it.substringBefore('=') to it.substringAfter('=') }

    /** Carries [txn] out, at once or late, and answers at once, late or never. */
    private fun transact(
        txn: Txn,
        answer: (Reply) -> Unit,
    ) {
        when {
            txn.then.isEmpty() -> {
                answerAfter(slowCompareMs, txn(txn), answer)
            }

            isLate(txn) -> {
                carryOutLater(txn, lateMs)
            }

            lateShare > 0 && random.nextDouble() < lateShare -> {
                carryOutLater(
                    txn,
                    LATE_FROM_MS + random.nextLong(LATE_SPREAD_MS),
                )
            }

            unansweredShare > 0 && random.nextDouble() < unansweredShare -> {
                txn(txn)
            }

            else -> {
                answerAfter(slowMs, txn(txn), answer)
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

    private fun newLease(lifeMs: Long): Reply {
        leases[nextPermit] = Lease(lifeMs, clock.now + lifeMs)
        clock.after(lifeMs + 1) { expireLeases() }
        return Reply(200, WireJson.encodeToString(LeaseReply.serializer(), LeaseReply(nextPermit++)))
    }

    private fun renewedLease(permit: Long): Reply {
        val lease = leases[permit] ?: return Reply(404, "{}")
        lease.endsAt = clock.now + lease.lifeMs
        clock.after(lease.lifeMs + 1) { expireLeases() }
        return Reply(200, "{}")
    }

    private fun carryOutLater(
        txn: Txn,
        ms: Long,
    ) {
        clock.after(ms) {
            // In an outage nothing is carried out; what was under way is once it is over.
            if (down) carryOutLater(txn, ms) else txn(txn)
        }
    }

    private fun get(key: String): Reply {
        val e = keys[key] ?: return Reply(404, """{"edition":$edition}""")
        return Reply(200, WireJson.encodeToString(KeyValue.serializer(), KeyValue(key, e.v, e.stamp, e.permit)))
    }

    private fun page(query: Map<String, String>): Reply {
        val prefix = query.getValue("under")
        val since = query["since"]
        val limit = query["limit"]?.toInt() ?: PAGE_SIZE
        val all = keysUnder(prefix).filter { since == null || it > since }
        if (all.isNotEmpty() && emptyPageShare > 0 && random.nextDouble() < emptyPageShare) {
            return Reply(200, WireJson.encodeToString(KeyPage.serializer(), KeyPage(emptyList(), true, edition)))
        }
        val pairs = all.take(limit).map { KeyValue(it, keys.getValue(it).v, keys.getValue(it).stamp) }
        return Reply(200, WireJson.encodeToString(KeyPage.serializer(), KeyPage(pairs, all.size > limit, edition)))
    }

    private fun txn(txn: Txn): Reply {
        val failed = txn.`if`.filter { (keys[it.key]?.stamp ?: 0) != it.stamp }.map { it.key }
        if (txn.then.any { it.permit != null && it.permit !in leases }) {
            return Reply(
                400,
                """{"error":"no such lease"}""",
            )
        }
        if (failed.isNotEmpty()) {
            return Reply(
                409,
                WireJson.encodeToString(TxnReply.serializer(), TxnReply(edition, failed)),
            )
        }
        if (txn.then.isNotEmpty()) {
            edition++
            for (c in txn.then) {
                val put = c.put
                val remove = c.remove
                if (put != null) {
                    set(put, Entry(c.v ?: JsonPrimitive(0), edition, c.permit))
                } else if (remove != null) {
                    set(remove, null)
                }
            }
            onChanged(txn.then.map { it.put ?: it.remove.orEmpty() })
            wake()
        }
        return Reply(200, WireJson.encodeToString(TxnReply.serializer(), TxnReply(edition)))
    }

    private fun set(
        key: String,
        entry: Entry?,
    ) {
        if (entry == null && key !in keys) return
        if (entry == null) keys.remove(key) else keys[key] = entry
        history.add(Change(edition, key, entry))
    }

    private fun expireLeases() {
        if (down) return
        val ended = leases.filterValues { it.endsAt < clock.now }.keys
        if (ended.isEmpty()) return
        leases.keys.removeAll(ended)
        val gone = keys.filterValues { it.permit in ended }.keys.toList()
        if (gone.isEmpty()) return
        edition++
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
        val index = history.binarySearchBy(revision + 1) { it.edition }
        var first = if (index < 0) -index - 1 else index
        while (first > 0 && history[first - 1].edition > revision) first--
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
                    News(put = it.key, v = it.entry.v, stamp = it.edition)
                } else {
                    News(remove = it.key, stamp = it.edition)
                }
            }
        if ((blindUntil[w.node] ?: 0) > clock.now) return
        w.answer(Reply(200, WireJson.encodeToString(NewsPage.serializer(), NewsPage(edition, news))))
    }

    /** A field of a stored value, for expectations. */
    fun field(
        key: String,
        name: String,
    ): String? = ((keys[key]?.v as? JsonObject)?.get(name))?.jsonPrimitive?.content

    /** A key as something else wrote it. */
    fun write(
        key: String,
        json: String,
    ) {
        edition++
        set(key, Entry(WireJson.parseToJsonElement(json), edition, null))
        wake()
    }

    /** Something else removes a key. */
    fun remove(key: String) {
        edition++
        set(key, null)
        wake()
    }

    fun value(key: String): JsonElement? = keys[key]?.v

    fun text(key: String) = keys[key]?.v.toString()

    fun stamp(key: String): Long = keys[key]?.stamp ?: 0

    private companion object {
        const val TXN = "/txn"
        const val LEASES = "/leases"
        const val CHANGES = "/changes"
        const val KEYS = "/keys"

        /** Keys on a page, unless the request names another limit. */
        const val PAGE_SIZE = 1000
        const val TXN_BYTES = 64 * 1024
        const val CONDITIONS_A_CHANGE = 4
        const val LATE_FROM_MS = 2_000L
        const val LATE_SPREAD_MS = 10_000L
    }
}
