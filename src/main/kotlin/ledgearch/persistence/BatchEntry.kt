package ledgearch.persistence

import ledgearch.model.Job
import ledgearch.wire.Change

/** Changes that are made together or not at all, as one part of a batch. */
internal class BatchEntry(
    val changes: List<Change>,
    /** The job whose final record is written by the changes; null if there is none. */
    val closedJob: Job? = null,
    /** Called when the changes are durable. */
    val onWritten: () -> Unit,
) {
    /** The first changed key, which identifies the entry across retries. */
    val key: String = keyOf(changes.first())

    /** The size of all values written by the changes. */
    val bytes: Int = changes.sumOf { change -> change.value?.let(::encodedBytes) ?: 0 }
}

/** Returns the key that [change] writes or removes. */
internal fun keyOf(change: Change): String = change.put ?: change.remove.orEmpty()
