package ledgearch.store

/**
 * The queues of requests to the state service. Requests of one lane are sent in the order of their arrival. A lane
 * whose first request has to wait does not hold back the other lanes.
 */
internal enum class RequestLane {
    /** Writes of the leadership record. */
    CRITICAL_WRITE,

    /** Leases, listings and reads that must not wait for users' requests. */
    CRITICAL,

    /** Watches. They are repeated without end, so they share a scarce budget with the ordinary lanes. */
    WATCH,

    /** Transactions that only compare, each for many users. */
    COMPARE,

    /** Pages of keys, each read for many requests. */
    PAGE,

    /** Reads of single keys. */
    READ,

    /** Transactions with changes. */
    WRITE,
    ;

    /** Whether its requests are sent before all others. */
    val isCritical: Boolean get() = this == CRITICAL_WRITE || this == CRITICAL

    /** Whether its requests wait after a rate limit error and fail while the state service refuses this node. */
    val isOrdinary: Boolean get() = this == COMPARE || this == PAGE || this == READ || this == WRITE

    companion object {
        /** Returns the lane for a request of [requestClass] and [kind]. */
        fun of(
            requestClass: RequestClass,
            kind: StoreRequestKind,
        ): RequestLane =
            when {
                kind == StoreRequestKind.WATCH -> WATCH
                requestClass == RequestClass.CRITICAL && kind == StoreRequestKind.WRITE -> CRITICAL_WRITE
                requestClass == RequestClass.CRITICAL -> CRITICAL
                kind == StoreRequestKind.COMPARE -> COMPARE
                kind == StoreRequestKind.LIST -> PAGE
                kind == StoreRequestKind.WRITE -> WRITE
                else -> READ
            }
    }
}

/** What a request to the state service does. */
internal enum class StoreRequestKind {
    /** Reads one key. */
    READ,

    /** Lists keys. */
    LIST,

    /** Opens or renews a lease. */
    LEASE,

    /** Waits for changes. */
    WATCH,

    /** Compares revisions and changes nothing. */
    COMPARE,

    /** Changes keys. */
    WRITE,
}
