package ledgearch.store

/** What became of a transaction. */
internal sealed interface TransactionResult {
    /** All its changes were made, at [revision]. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** The conditions on the keys in [failed] did not hold: nothing was changed. */
    data class Conflict(
        val failed: List<String>,
    ) : TransactionResult

    /** Surely not executed, and nothing to be gained by asking again at once: an outage, or no budget left. */
    data object Refused : TransactionResult

    /** Surely not executed, and never to be as it is: a value or the transaction is larger than the service takes. */
    data object TooLarge : TransactionResult

    /** Surely not executed: the lease of a put is gone. */
    data object LeaseExpired : TransactionResult

    /** No answer: executed, or not, or yet to be. */
    data object Unknown : TransactionResult
}
