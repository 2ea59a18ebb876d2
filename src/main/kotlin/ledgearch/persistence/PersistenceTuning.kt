package ledgearch.persistence

/** The leader's records: constants with their unit and the reason for their value. */
internal object PersistenceTuning {
    /**
     * Share of the limit on values that records of machines are planned to fill: the service may count spaces or
     * escapes.
     */
    const val VALUE_FILL_SHARE = 0.8

    /** Machines. In one record; a rental brings up to 50, and each that goes has the rest written again. */
    const val MAX_MACHINES_PER_RECORD = 40

    /** ms. Between two records of one job's finished tasks: what is lost with one is on the machines' lists. */
    const val FINISHED_TASKS_INTERVAL_MS = 5_000L

    /**
     * ms. An entry that the service took for too large when it was sent alone waits this long: its limits may rise
     * again.
     */
    const val TOO_LARGE_RETRY_MS = 30_000L
}
