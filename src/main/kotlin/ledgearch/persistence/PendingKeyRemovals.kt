package ledgearch.persistence

import ledgearch.wire.Change

/** Holds keys that are to be removed until each removal is durable. */
internal class PendingKeyRemovals : PendingWrites {
    private val keys = LinkedHashSet<String>()

    /** Queues the removal of [key]. */
    fun add(key: String) {
        keys.add(key)
    }

    /** Drops all pending removals when a leadership term has ended. */
    fun clear() = keys.clear()

    override fun addTo(batch: Batch): Boolean =
        keys.toList().all { key ->
            batch.add(BatchEntry(listOf(Change(remove = key))) { keys.remove(key) })
        }
}
