package ledgearch.store

/** The result of a transaction. */
internal sealed interface TransactionResult {
    /** All changes were made at [revision]. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** Nothing was changed because the conditions on [failedKeys] did not hold. */
    data class Conflict(
        val failedKeys: List<String>,
    ) : TransactionResult

    /** Not executed, usually because of an outage or an exhausted budget, so an immediate retry is pointless. */
    data object Refused : TransactionResult

    /** Not executed, and a retry would fail too: a value or the transaction exceeds the service's limit. */
    data object TooLarge : TransactionResult

    /** Not executed because the lease of a put has expired. */
    data object LeaseExpired : TransactionResult

    /** No usable reply: the transaction may have been executed, may still be, or may never be. */
    data object Unknown : TransactionResult
}
