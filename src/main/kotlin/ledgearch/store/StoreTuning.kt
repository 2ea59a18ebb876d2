package ledgearch.store

/** Timeouts, limits and delays of requests to the state service. */
internal object StoreTuning {
    /** Requests usually take less than 10 ms and occasionally a few hundred. */
    const val REQUEST_TIMEOUT_MS = 1_500L

    /** For transactions without changes. They can be repeated safely, and users wait 2 s for replies that need one. */
    const val COMPARE_TIMEOUT_MS = 600L

    /** For transactions with changes. Their conditions make it safe to send them again. */
    const val TRANSACTION_TIMEOUT_MS = 900L

    /** A page of keys may be large. */
    const val PAGE_TIMEOUT_MS = 6_000L

    /** Short, since a watch whose reply is lost delivers nothing until it times out. */
    const val WATCH_BLOCK_MS = 2_000L

    /** For a watch that many polls wait for; well below the time that users wait for a response. */
    const val SHORT_WATCH_BLOCK_MS = 250L

    /** Time allowed for the reply of a watch beyond [WATCH_BLOCK_MS]. */
    const val WATCH_REPLY_GRACE_MS = 1_000L

    /** Well below the service's limit of 1,000, so that a page is parsed in a fraction of a second. */
    const val KEYS_PER_PAGE = 200

    /** The leader's share of the request budget of all nodes. The other nodes split the rest equally. */
    const val LEADER_BUDGET_SHARE = 0.5

    /** The service accepts four times as many conditions as changes in a transaction. */
    const val MAX_CONDITIONS_PER_CHANGE = 4

    /** The service accepts 64 KiB. */
    const val MAX_TRANSACTION_BYTES = 48 * 1024

    /** Interval of the log line on requests that are passed over. */
    const val PASSED_OVER_LOG_INTERVAL_MS = 10_000L

    /** Delay after a refused or unanswered request. */
    const val RETRY_DELAY_MS = 250L

    /** Long enough for a node short of processor time to renew the lease of its leadership record in time. */
    const val LEADER_LEASE_TTL_MS = 6_000L
}
