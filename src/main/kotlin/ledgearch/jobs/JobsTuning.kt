package ledgearch.jobs

/** The replicated job store: constants with their unit and the reason for their value. */
internal object JobsTuning {
    /** Reads. Of final records of dependencys, under way at one time: a new leader's other reads go on beside them. */
    const val DEPENDENCY_READS = 6

    /**
     * ms. Until the final record of an dependency that was not found is read again: its open record is on its way
     * here.
     */
    const val DEPENDENCY_READ_MS = 1_000L
}
