package ledgearch.store

/** The result of reading from the state service. */
internal sealed interface ReadResult<out T> {
    /** The read returned [value]. */
    data class Found<T>(
        val value: T,
    ) : ReadResult<T>

    /** The key does not exist, or the start revision of a watch is too old for the service. */
    data object Absent : ReadResult<Nothing>

    /** No usable reply, so nothing is known about the stored data. */
    data object Failed : ReadResult<Nothing>
}
