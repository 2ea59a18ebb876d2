package ledgearch.persistence

/** Sizes and intervals for writing the leader's records. */
internal object PersistenceTuning {
    /** The part of the value limit that machine records fill, as the service may count spaces or escapes. */
    const val MAX_VALUE_FILL_RATIO = 0.8

    /** The cloud provides up to 50 machines at once, and a machine that leaves causes a rewrite of its whole record. */
    const val MAX_MACHINES_PER_RECORD = 40

    /** Per job. Finished tasks that are not durable yet are still on their machines' lists. */
    const val FINISHED_TASKS_WRITE_INTERVAL_MS = 5_000L

    /** A rejected entry is sent again because the service's limits may be raised. */
    const val OVERSIZED_ENTRY_RETRY_DELAY_MS = 30_000L
}
