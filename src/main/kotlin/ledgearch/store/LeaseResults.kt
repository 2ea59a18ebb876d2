package ledgearch.store

/** The result of a request to open a lease. */
internal sealed interface OpenLeaseResult {
    /** The lease [leaseId] is open. */
    data class Opened(
        val leaseId: Long,
    ) : OpenLeaseResult

    /** No usable reply. If the lease was opened nevertheless, it expires unused. */
    data object Failed : OpenLeaseResult
}

/** The result of a request to keep a lease alive. */
internal enum class KeepAliveResult {
    /** The lease was renewed. */
    KEPT_ALIVE,

    /** The lease has expired, and all keys attached to it were removed. */
    EXPIRED,

    /** No usable reply: the lease may or may not have been renewed. */
    UNKNOWN,
}
