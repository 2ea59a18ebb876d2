package ledgearch.persistence

/** The pending writes of one kind of record. */
internal interface PendingWrites {
    /** Adds the due writes to [batch]; returns false if the batch is full and nothing may be added after them. */
    fun addTo(batch: Batch): Boolean
}
