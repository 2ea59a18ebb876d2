package ledgearch.store

/** What became of a request to open a lease. */
internal sealed interface OpenLeaseResult {
    /** The lease [leaseId] is open. */
    data class Opened(
        val leaseId: Long,
    ) : OpenLeaseResult

    /** No usable answer. A lease that was opened all the same runs out unused. */
    data object Failed : OpenLeaseResult
}

/** What became of a request to keep a lease alive. */
internal enum class KeepAliveResult {
    /** The lease lives on. */
    KEPT_ALIVE,

    /** The lease is gone, with all keys attached to it. */
    EXPIRED,

    /** No usable answer: the lease may have been kept alive or not. */
    UNKNOWN,
}
