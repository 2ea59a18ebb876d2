package ledgearch.control

/** The controller and the leader: constants with their unit and the reason for their value. */
internal object ControlTuning {
    /** ms. Between two lines of the debug log with what the owner's time was spent on. */
    const val LOG_LOAD_MS = 10_000L

    /** ms. A node that the state service has not answered for this long is not healthy while others may be. */
    const val STATE_SILENT_MS = 4_000L

    /** ms. A leader that the state service has not answered for this long says so: sooner than others step aside. */
    const val LEADER_UNSERVED_MS = 2_500L

    /** ms. What the leader said of an outage counts this long: it speaks every second, and may be late. */
    const val OUTAGE_VALID_MS = 3_000L

    /** ms. Between two publications of progress. */
    const val PUBLISH_MS = 1_000L

    /** Jobs. Finished jobs whose answer is kept in memory (a name and one word each); the rest are read when asked. */
    const val FINAL_CACHE = 20_000L

    /** Bits of an attempt's number that count within a term; the token above them makes it unique for ever. */
    const val ATTEMPT_BITS = 28

    /** Attempts. After these a new term is needed: a fortnight at a hundred starts a second, half of what there is. */
    const val ATTEMPTS_PER_TERM = 1L shl (ATTEMPT_BITS - 1)

    /** ms. An agent drops answers 4 s after its heartbeat was sent; some more, since clocks drift and batches wait. */
    const val ANSWER_AWAITED_MS = 4_500L

    /** ms. Between two counts of machine hours. */
    const val COUNT_MS = 1_000L

    /** ms. Between two placement passes without any change, since time alone may make a placement possible. */
    const val IDLE_PASS_MS = 250L
}
