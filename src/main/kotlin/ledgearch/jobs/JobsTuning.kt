package ledgearch.jobs

/** Limits and intervals of reads for the replicated job store. */
internal object JobsTuning {
    /** Final records that are read by key at the same time; if more are wanted, they are read in pages. */
    const val MAX_SINGLE_FINAL_RECORD_READS = 16

    /** The service's limit; a final record is small. */
    const val FINAL_RECORDS_PER_PAGE = 1_000

    /** A dependency without a final record usually has an open one that the watch is about to deliver. */
    const val DEPENDENCY_READ_INTERVAL_MS = 1_000L
}
