package ledgearch.persistence

import ledgearch.store.StoreTuning

/** Collects the entries of one transaction, in the order in which they are added, until the transaction is full. */
internal class Batch(
    maxChanges: Int,
    private val oversizedEntries: OversizedEntries,
) {
    /** The entries added so far. */
    val entries = ArrayList<BatchEntry>()

    /** The number of changes that can still be added. */
    var remainingChanges = maxChanges
        private set
    private var bytes = 0

    /** Adds [entry]; returns false if the batch is full. Skips an entry that is deferred because it is too large. */
    fun add(entry: BatchEntry): Boolean {
        if (oversizedEntries.isDeferred(entry.key)) return true
        if (entries.isNotEmpty() && isFullFor(entry)) return false
        if (entry.changes.size > remainingChanges) return false
        remainingChanges -= entry.changes.size
        bytes += entry.bytes
        entries.add(entry)
        return true
    }

    private fun isFullFor(entry: BatchEntry) =
        oversizedEntries.isIsolating || bytes + entry.bytes > StoreTuning.MAX_TRANSACTION_BYTES
}
