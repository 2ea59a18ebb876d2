package ledgearch.jobs

/** The replicated job store: constants with their unit and the reason for their value. */
internal object JobsTuning {
    /** Reads. Of final records of dependencies, open at one time: a new leader's other reads go on beside them. */
    const val MAX_DEPENDENCY_READS = 6

    /**
     * ms. Until the final record of a dependency that was not found is read again: its open record is about to be
     * replicated here.
     */
    const val DEPENDENCY_READ_INTERVAL_MS = 1_000L
}
