package ledgearch.persistence

import ledgearch.store.StoreTuning

/**
 * What one transaction holds: entries in the order in which they are offered, until one has no room.
 */
internal class Batch(
    maxChanges: Int,
    private val oversized: OversizedRecords,
) {
    /** The entries in it. */
    val entries = ArrayList<BatchEntry>()

    /** The number of changes that it can still hold. */
    var room = maxChanges
        private set
    private var bytes = 0

    /** False when the batch is full. An entry that waits since it was too large is passed over. */
    fun add(entry: BatchEntry): Boolean {
        if (oversized.isWaiting(entry.key)) return true
        if (entries.isNotEmpty() && isFullFor(entry)) return false
        if (entry.changes.size > room) return false
        room -= entry.changes.size
        bytes += entry.bytes
        entries.add(entry)
        return true
    }

    private fun isFullFor(entry: BatchEntry) =
        oversized.isSearching || bytes + entry.bytes > StoreTuning.TRANSACTION_BYTES
}
