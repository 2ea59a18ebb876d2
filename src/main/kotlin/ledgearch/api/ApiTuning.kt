package ledgearch.api

/** Requests of users: constants with their unit and the reason for their value. */
internal object ApiTuning {
    /** ms. A submission waits this long for its durable record, then its user gets a 503 with a `Retry-After`. */
    const val SUBMISSION_TIMEOUT_MS = 2_500L

    /** ms. The user waits 2 s for the response to a poll. */
    const val POLL_TIMEOUT_MS = 1_500L

    /** ms. A cancellation waits this long for the leader, then its user gets a 503 with a `Retry-After`. */
    const val CANCELLATION_TIMEOUT_MS = 3_000L

    /**
     * Levels. Objects and arrays within one another. A submission needs two; the parser recurses once a level, and its
     * stack must not overflow.
     */
    const val SUBMISSION_DEPTH = 200

    /** Requests. Waiting for the state service at one time; beyond it users get a 503 at once (backpressure). */
    const val REQUEST_BACKLOG = 512

    /**
     * Share of the time in which a cancellation has to take effect. A job with unfinished dependencies is reported as
     * pending only from a replicated job store that was complete so recently: an answer that rests on two such stores
     * is still within half of that time.
     */
    const val FRESHNESS_SHARE = 0.25

    /** Tasks. The protocol's limit for one job. */
    const val JOB_TASKS_MAX = 100_000

    /** The unit of the field. Far above every machine and duration, and far below where sums lose precision. */
    const val AMOUNT_MAX = 1e9

    /** Conditions. A poll compares the revisions of the open and the final record at most. */
    const val POLL_CONDITIONS = 2

    /**
     * Factor. A value is counted this many times over against the planned size of a transaction, which leaves room for
     * its conditions and for the JSON around it.
     */
    const val VALUE_SIZE_FACTOR = 2
}
