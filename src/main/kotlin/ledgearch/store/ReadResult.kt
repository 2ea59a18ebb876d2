package ledgearch.store

/** What a read of the state service returned. */
internal sealed interface ReadResult<out T> {
    /** What was asked for exists: [value]. */
    data class Found<T>(
        val value: T,
    ) : ReadResult<T>

    /** The key does not exist; for a watch: its start is too old for the service. */
    data object Absent : ReadResult<Nothing>

    /** No usable answer: it tells nothing about what is stored. */
    data object Failed : ReadResult<Nothing>
}
