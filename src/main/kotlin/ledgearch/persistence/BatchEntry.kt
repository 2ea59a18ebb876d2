package ledgearch.persistence

import ledgearch.model.Job
import ledgearch.wire.Change

/**
 * One part of a batch: its changes are made together or not at all. [closedJob]: the job that they close, null if none;
 * [onWritten] is called once they are durable.
 */
internal class BatchEntry(
    val changes: List<Change>,
    val closedJob: Job? = null,
    val onWritten: () -> Unit,
) {
    /** The key that the entry is known by from try to try. */
    val key: String = keyOf(changes.first())

    /** Bytes of all values that it puts. */
    val bytes: Int = changes.sumOf { change -> change.value?.let(::encodedBytes) ?: 0 }
}

/** The key that [change] puts or removes. */
internal fun keyOf(change: Change): String = change.put ?: change.remove.orEmpty()
