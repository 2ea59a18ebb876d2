package ledgearch.store

/** Requests to the state service: constants with their unit and the reason for their value. */
internal object StoreTuning {
    /** ms. A request to the state service; it usually takes under 10 and now and then a few hundred. */
    const val REQUEST_TIMEOUT_MS = 1_500L

    /** ms. A transaction that only compares may be sent again at will, and a user waits 2 s for what hangs on it. */
    const val COMPARE_TIMEOUT_MS = 600L

    /** ms. A writing transaction is sent again after this; its conditions make the repeat harmless. */
    const val TRANSACTION_TIMEOUT_MS = 900L

    /** ms. A page of keys or an answered watch may be large. */
    const val PAGE_TIMEOUT_MS = 6_000L

    /**
     * ms. How long one watch waits for changes. Short, since a watch whose answer is lost is blind until it is given
     * up.
     */
    const val WATCH_BLOCK_MS = 2_000L

    /** ms. Beyond its time, how long the answer of a watch is waited for. */
    const val WATCH_GRACE_MS = 1_000L

    /** Keys a page. Well under the service's 1,000 so that one answer is parsed in a fraction of a second. */
    const val PAGE_KEYS = 200

    /** Of the nodes' budget, the share of the leader; the others split the rest. */
    const val LEADER_SHARE = 0.5

    /** Conditions for each change that a transaction may have: the service takes four times as many. */
    const val CONDITIONS_PER_CHANGE = 4

    /** Bytes. Planned size of one transaction: the service takes 64 KiB. */
    const val TRANSACTION_BYTES = 48 * 1024

    /** ms. Pause after a refused or unanswered state request. */
    const val RETRY_PAUSE_MS = 250L

    /**
     * ms. Life of the lease that the leadership record is attached to: a node short of processor time must still renew
     * in time.
     */
    const val LEADER_LEASE_MS = 6_000L
}
