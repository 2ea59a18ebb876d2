package ledgearch.api

/** Timeouts and limits of users' requests. */
internal object ApiTuning {
    /** A submission whose record is not durable after this time gets a 503 with a `Retry-After`. */
    const val SUBMISSION_TIMEOUT_MS = 2_500L

    /** Users wait 2 s for the response to a poll. */
    const val POLL_TIMEOUT_MS = 1_500L

    /** Time without an answer after which a job is named in a warning. */
    const val UNANSWERED_WARNING_MS = 30_000L

    /** Interval of that warning. */
    const val UNANSWERED_CHECK_INTERVAL_MS = 10_000L

    /** Users poll every 5 s, at any node. */
    const val UNANSWERED_JOB_KEPT_MS = 60_000L

    /** A cancellation of a job that has not ended after this time gets a 503 with a `Retry-After`. */
    const val CANCELLATION_TIMEOUT_MS = 3_000L

    /**
     * Maximum depth of objects and arrays within one another. A submission needs two levels. The parser recurses once
     * per level, and its stack must not overflow.
     */
    const val MAX_SUBMISSION_DEPTH = 200

    /** Limits queued submissions, polls and lookups in flight, each; further requests get a 503 at once. */
    const val MAX_PENDING_REQUESTS = 512

    /**
     * Maximum age of the job store's view from which a job with unfinished dependencies is accepted or reported as
     * pending, as a share of the time within which a cancellation must take effect. A response that rests on two such
     * views then shows a state that is at most half of that time old.
     */
    const val MAX_VIEW_AGE_SHARE = 0.25

    /** The protocol's limit. */
    const val MAX_TASKS_PER_JOB = 100_000

    /** Far above every machine size and duration, and far below the values where sums lose precision. */
    const val MAX_AMOUNT = 1e9

    /** A poll compares the revisions of the open and the final record. */
    const val MAX_CONDITIONS_PER_POLL = 2

    /** Planned size of a transaction per byte of its values: leaves room for conditions and the surrounding JSON. */
    const val PLANNED_SIZE_FACTOR = 2
}
