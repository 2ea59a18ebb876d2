package ledgearch.persistence

import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.Change
import ledgearch.wire.Condition

/**
 * Holds the revisions of the keys that only the leader writes, as it last read or wrote them; 0 for absent keys.
 *
 * Every change compares the revision of its key (compare-and-swap). If a change is sent several times because no reply
 * came, at most one of these attempts takes effect, and a late one never overwrites a newer value. A failed comparison
 * means that an earlier attempt took effect, and the key is read again.
 */
internal class KeyRevisions(
    private val storeClient: StoreClient,
) {
    private val revisions = HashMap<String, Long>()

    /** Sets the revision of the last change of [key]; 0 if the key does not exist. */
    fun set(
        key: String,
        revision: Long,
    ) {
        if (revision == 0L) revisions.remove(key) else revisions[key] = revision
    }

    /** Returns the conditions under which [changes] may be made: their keys still have the revisions held here. */
    fun conditionsFor(changes: List<Change>): List<Condition> =
        changes.map { change ->
            val key = keyOf(change)
            Condition(key, revisions[key] ?: 0)
        }

    /** Records that [changes] were made at [revision]. */
    fun markWritten(
        changes: List<Change>,
        revision: Long,
    ) = changes.forEach { set(keyOf(it), if (it.put != null) revision else 0) }

    /**
     * Reads the revisions of [keys] again after their comparison failed. [done] is called when every read has succeeded
     * or failed. A failed read is harmless: the next comparison of its key fails too.
     */
    fun refresh(
        keys: List<String>,
        done: () -> Unit,
    ) {
        var pendingReads = keys.size
        if (pendingReads == 0) return done()
        for (key in keys) {
            storeClient.get(key, RequestClass.ORDINARY) { result ->
                when (result) {
                    is ReadResult.Found -> set(key, result.value.modRevision)
                    ReadResult.Absent -> set(key, 0)
                    ReadResult.Failed -> Unit
                }
                pendingReads--
                if (pendingReads == 0) done()
            }
        }
    }
}
