package ledgearch.control

/** Constants of the controller and the leader. */
internal object ControlTuning {
    /** Interval of the debug log line that lists what the owner's time was spent on. */
    const val LOAD_LOG_INTERVAL_MS = 10_000L

    /** A node without a state service reply for this long is unhealthy, unless the leader reports an outage. */
    const val MAX_STATE_REPLY_AGE_MS = 4_000L

    /** Shorter than [MAX_STATE_REPLY_AGE_MS], so that the leader reports an outage before other nodes are unhealthy. */
    const val LEADER_MAX_STATE_REPLY_AGE_MS = 2_500L

    /** Validity of an outage reported by the leader: several times [PUBLISH_INTERVAL_MS], as reports may be late. */
    const val OUTAGE_REPORT_VALID_MS = 3_000L

    /** Interval at which the leader publishes its status. */
    const val PUBLISH_INTERVAL_MS = 1_000L

    /** Finished jobs whose final record stays in memory; others are read from the state service on request. */
    const val FINAL_RECORD_CACHE_SIZE = 20_000L

    /** Low bits of an attempt number that count within a term; the fencing token above them makes it unique. */
    const val ATTEMPT_COUNTER_BITS = 28

    /**
     * Half of what [ATTEMPT_COUNTER_BITS] can count: two weeks at a hundred starts per second. Beyond it the leader
     * steps down, so that a new term begins.
     */
    const val MAX_ATTEMPTS_PER_TERM = 1L shl (ATTEMPT_COUNTER_BITS - 1)

    /** Interval at which the hours of spot machines are counted. */
    const val RELIABILITY_UPDATE_INTERVAL_MS = 1_000L

    /** Interval of placement passes without a change; time alone can make a placement possible. */
    const val IDLE_PASS_INTERVAL_MS = 250L
}
