package ledgearch.jobs

/** Limits and intervals of reads for the replicated job store. */
internal object JobsTuning {
    /** Leaves capacity for the other reads of a new leader. */
    const val MAX_CONCURRENT_DEPENDENCY_READS = 6

    /** A dependency without a final record usually has an open one that the watch is about to deliver. */
    const val DEPENDENCY_READ_INTERVAL_MS = 1_000L
}
