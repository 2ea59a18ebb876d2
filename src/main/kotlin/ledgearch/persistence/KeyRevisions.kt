package ledgearch.persistence

import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.Change
import ledgearch.wire.Condition

/**
 * The stamps of the keys that the leader alone writes, as last read or written by it; absent ones have 0. Every change
 * compares its key's stamp, so that of several tries without an answer one at most is carried out: a late one never
 * puts what is older over what is newer. A comparison that fails says that a try was carried out, and the key is read
 * anew.
 */
internal class KeyRevisions(
    private val state: StoreClient,
) {
    private val keyRevisions = HashMap<String, Long>()

    fun read(
        key: String,
        modRevision: Long,
    ) {
        if (modRevision == 0L) keyRevisions.remove(key) else keyRevisions[key] = modRevision
    }

    fun conditions(changes: List<Change>): List<Condition> =
        changes.map {
            Condition(
                keyOf(it),
                keyRevisions[keyOf(it)] ?: 0,
            )
        }

    fun written(
        changes: List<Change>,
        revision: Long,
    ) = changes.forEach { read(keyOf(it), if (it.put != null) revision else 0) }

    /** Reads [keys], whose comparison failed; [done] once all are answered, or not: then they fail once more. */
    fun readAnew(
        keys: List<String>,
        done: () -> Unit,
    ) {
        var open = keys.size
        if (open == 0) return done()
        for (key in keys) {
            state.get(key, RequestClass.ORDINARY) { result ->
                when (result) {
                    is ReadResult.Found -> read(key, result.value.modRevision)
                    ReadResult.Absent -> read(key, 0)
                    ReadResult.Failed -> Unit
                }
                if (--open == 0) done()
            }
        }
    }

    private fun keyOf(change: Change): String = change.put ?: change.remove.orEmpty()
}
