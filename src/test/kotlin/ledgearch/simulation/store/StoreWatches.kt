package ledgearch.simulation.store

import ledgearch.http.Reply
import ledgearch.simulation.SimulatedClock
import ledgearch.wire.WatchEvent
import ledgearch.wire.WatchReply
import ledgearch.wire.WireJson

/** The open watches of the [FakeStore]: each is answered once, with changes or after its time. */
internal class StoreWatches(
    private val clock: SimulatedClock,
    private val keys: StoreKeys,
    private val faults: StoreFaults,
) {
    private class Watch(
        val node: String,
        val prefix: String,
        val since: Long,
        val answer: (Reply) -> Unit,
    ) {
        var isOpen = true
    }

    private val watches = ArrayList<Watch>()

    fun watch(
        node: String,
        query: Map<String, String>,
        answer: (Reply) -> Unit,
    ) {
        val since = query.getValue("since").toLong()
        val blockMs = query["blockMs"]?.toLong() ?: 0
        if (since < keys.compactedRevision) return answer(Reply(410, "{}"))
        val watch = Watch(node, query.getValue("under"), since, answer)
        if (tryAnswer(watch)) return
        watches.add(watch)
        clock.after(blockMs) {
            if (watch.isOpen && !faults.isDown && !faults.isRefused(watch.node)) finish(watch, emptyList())
        }
    }

    /** Answers the watches that wait for changes which are there now. */
    fun wake() = watches.toList().forEach { tryAnswer(it) }

    private fun tryAnswer(watch: Watch): Boolean {
        if (faults.isRefused(watch.node)) return false
        val changes = keys.changesAfter(watch.since).filter { it.key.startsWith(watch.prefix) }
        if (changes.isEmpty()) return false
        finish(watch, changes)
        return true
    }

    private fun finish(
        watch: Watch,
        changes: List<StoreChange>,
    ) {
        watch.isOpen = false
        watches.remove(watch)
        if (faults.losesWatchAnswers(watch.node)) return
        val reply = WatchReply(keys.revision, changes.map(::eventOf))
        watch.answer(Reply(200, WireJson.encodeToString(WatchReply.serializer(), reply)))
    }

    private fun eventOf(change: StoreChange) =
        if (change.entry != null) {
            WatchEvent(put = change.key, value = change.entry.value, modRevision = change.revision)
        } else {
            WatchEvent(remove = change.key, modRevision = change.revision)
        }
}
