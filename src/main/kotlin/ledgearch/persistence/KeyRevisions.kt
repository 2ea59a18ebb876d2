package ledgearch.persistence

import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.Change
import ledgearch.wire.Condition

/**
 * The revisions of the keys that the leader alone writes, as last read or written by it; absent keys have 0. Every
 * change compares its key's revision (compare-and-swap), so that of several tries without an answer one at most is
 * carried out: a late one never puts what is older over what is newer. A comparison that fails says that a try was
 * carried out, and the key is read again.
 */
internal class KeyRevisions(
    private val state: StoreClient,
) {
    private val revisions = HashMap<String, Long>()

    /** [key] was last changed at [revision]; 0: it does not exist. */
    fun set(
        key: String,
        revision: Long,
    ) {
        if (revision == 0L) revisions.remove(key) else revisions[key] = revision
    }

    /** What has to hold for [changes]: their keys are at the revisions known here. */
    fun conditions(changes: List<Change>): List<Condition> =
        changes.map { change ->
            val key = keyOf(change)
            Condition(key, revisions[key] ?: 0)
        }

    /** [changes] were made at [revision]. */
    fun written(
        changes: List<Change>,
        revision: Long,
    ) = changes.forEach { set(keyOf(it), if (it.put != null) revision else 0) }

    /**
     * Reads [keys] again, whose comparison failed. [done] is called once every read is answered or has failed; a key
     * whose read failed only makes one more comparison fail.
     */
    fun readAgain(
        keys: List<String>,
        done: () -> Unit,
    ) {
        var openReads = keys.size
        if (openReads == 0) return done()
        for (key in keys) {
            state.get(key, RequestClass.ORDINARY) { result ->
                when (result) {
                    is ReadResult.Found -> set(key, result.value.modRevision)
                    ReadResult.Absent -> set(key, 0)
                    ReadResult.Failed -> Unit
                }
                openReads--
                if (openReads == 0) done()
            }
        }
    }
}
