package ledgearch.runtime

/** Limits and intervals of the owner thread and its queue. */
internal object RuntimeTuning {
    /** In commands. A full queue suspends the connections and so applies backpressure to their clients. */
    const val QUEUE_CAPACITY = 1024

    /** A twentieth of the shortest wait that users ask for. */
    const val TICK_INTERVAL_MS = 50L

    /** All nodes together plan to use this share of a service's limits; the rest allows for clock skew and bursts. */
    const val USED_RATE_LIMIT_SHARE = 0.9

    /** Longer than any request timeout; longer latencies are recorded as this value. */
    const val MAX_RECORDED_LATENCY_MS = 60_000L

    /** Longer batches are recorded as this value; by then the service has already stopped responding. */
    const val MAX_RECORDED_BATCH_US = 60_000_000L

    /** Significant digits of recorded values: a precision of 1%. */
    const val HISTOGRAM_SIGNIFICANT_DIGITS = 2

    /**
     * Event-loop lag above which the node counts as lagging. A message is queued for the owner thread about four times
     * on its way in and out, so the reply to a probe is then late by about the timeout of the probe.
     */
    const val LAG_THRESHOLD_MS = 200L

    /** A node counts as lagging for this long after a stall, until messages waiting in its sockets are read. */
    const val CATCH_UP_MS = 1_000L

    /** Longer than any period of silence that is evaluated. */
    const val STALL_RETENTION_MS = 180_000L

    /** Minimum interval between two placement passes; tasks are required to start within a second. */
    const val PASS_INTERVAL_MS = 40L

    /** Minimum interval between two placement passes while the node is lagging. */
    const val LAGGING_PASS_INTERVAL_MS = 200L

    /** Multiple of the last pass's duration, which limits placement to a third of the owner thread's time. */
    const val PASS_INTERVAL_FACTOR = 3

    /** Upper bound of the interval, however long the passes take. */
    const val MAX_PASS_INTERVAL_MS = 1_000L
}
