package ledgearch.persistence

/** Offers what there is to write of one kind of records. */
internal fun interface RecordCollector {
    /** Adds what is due to [batch]; false when that has no more room, so that nothing may be added after it. */
    fun collect(batch: Batch): Boolean
}
