package ledgearch.persistence

import ledgearch.wire.Change

/** Keys that are to be removed, each until its removal is durable. */
internal class KeyRemovals : RecordCollector {
    private val keys = LinkedHashSet<String>()

    /** [key] is to be removed. */
    fun add(key: String) {
        keys.add(key)
    }

    /** Forgets all keys: a leadership term has ended. */
    fun clear() = keys.clear()

    override fun collect(batch: Batch): Boolean =
        keys.toList().all { key ->
            batch.add(BatchEntry(listOf(Change(remove = key))) { keys.remove(key) })
        }
}
