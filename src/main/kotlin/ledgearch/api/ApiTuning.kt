package ledgearch.api

/** Requests of users: constants with their unit and the reason for their value. */
internal object ApiTuning {
    /** ms. A submission waits this long for its durable record, then the user is told to come back. */
    const val SUBMIT_MS = 2_500L

    /** ms. A poll is waited for 2 s by its user. */
    const val POLL_MS = 1_500L

    /** ms. A cancellation waits this long for the leader, then the user is told to come back. */
    const val CANCEL_MS = 3_000L

    /**
     * Objects and arrays within one another. A submission needs two; the parser's own calls nest as deep, and its stack
     * must not end.
     */
    const val SUBMISSION_DEPTH = 200

    /** Requests. Waiting for the state service at one time; beyond it users are told to come back at once. */
    const val INTAKE_BACKLOG = 512

    /**
     * Share of the time in which a cancellation has to take effect. A job that waits for others is told as pending only
     * from a copy of the state that was complete so lately; what rests on two such copies is still within half of that
     * time.
     */
    const val FRESH_SHARE = 0.25
}
