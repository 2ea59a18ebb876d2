package ledgearch.simulation.store

import ledgearch.http.Reply
import ledgearch.simulation.SimulatedClock
import ledgearch.wire.WatchEvent
import ledgearch.wire.WatchReply
import ledgearch.wire.WireJson

/** The open watches of the [FakeStore]. Each gets one reply, with changes or when its time has passed. */
internal class StoreWatches(
    private val clock: SimulatedClock,
    private val keys: StoreKeys,
    private val faults: StoreFaults,
) {
    private class Watch(
        val node: String,
        val prefix: String,
        val since: Long,
        val onReply: (Reply) -> Unit,
    ) {
        var isOpen = true
    }

    private val watches = ArrayList<Watch>()

    fun watch(
        node: String,
        query: Map<String, String>,
        onReply: (Reply) -> Unit,
    ) {
        val since = query.getValue("since").toLong()
        val blockMs = query["blockMs"]?.toLong() ?: 0
        if (since < keys.compactedRevision) return onReply(Reply(410, "{}"))
        val watch = Watch(node, query.getValue("under"), since, onReply)
        if (tryReply(watch)) return
        watches.add(watch)
        clock.after(blockMs) {
            if (watch.isOpen && !faults.isDown && !faults.isRefused(watch.node)) reply(watch, emptyList())
        }
    }

    /** Replies to the watches for which there are changes. */
    fun replyWithChanges() = watches.toList().forEach { tryReply(it) }

    private fun tryReply(watch: Watch): Boolean {
        if (faults.isRefused(watch.node)) return false
        val changes = keys.changesAfter(watch.since).filter { it.key.startsWith(watch.prefix) }
        if (changes.isEmpty()) return false
        reply(watch, changes)
        return true
    }

    private fun reply(
        watch: Watch,
        changes: List<StoreChange>,
    ) {
        watch.isOpen = false
        watches.remove(watch)
        if (faults.losesWatchReplies(watch.node)) return
        val watchReply = WatchReply(keys.revision, changes.map(::eventOf))
        watch.onReply(Reply(200, WireJson.encodeToString(WatchReply.serializer(), watchReply)))
    }

    private fun eventOf(change: StoreChange) =
        if (change.entry != null) {
            WatchEvent(put = change.key, value = change.entry.value, modRevision = change.revision)
        } else {
            WatchEvent(remove = change.key, modRevision = change.revision)
        }
}
