package ledgearch.simulation.store

import kotlinx.serialization.json.JsonElement
import java.util.TreeMap

/** A stored value with the revision of its last change, and the lease that it ends with, if any. */
internal class StoreEntry(
    val value: JsonElement,
    val modRevision: Long,
    val leaseId: Long?,
)

/** A key was written, or removed if there is no entry. */
internal class StoreChange(
    val revision: Long,
    val key: String,
    val entry: StoreEntry?,
)

/** The keys of the [FakeStore] and the history of their changes. */
internal class StoreKeys {
    private val entries = TreeMap<String, StoreEntry>()

    /** In the order of revisions. */
    private val history = ArrayList<StoreChange>()
    var revision = 0L
        private set

    /** Changes up to this revision are no longer told to watches. */
    var compactedRevision = 0L
        private set

    operator fun get(key: String): StoreEntry? = entries[key]

    /** The revision of the last change of [key], or 0 without that key. */
    fun modRevision(key: String): Long = entries[key]?.modRevision ?: 0

    fun under(prefix: String): List<String> = entries.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }

    fun ofLeases(leaseIds: Set<Long>): List<String> = entries.filterValues { it.leaseId in leaseIds }.keys.toList()

    /** What is changed from now on has a revision of its own. */
    fun nextRevision() {
        revision++
    }

    /** Writes [value] under the present revision. */
    fun put(
        key: String,
        value: JsonElement,
        leaseId: Long?,
    ) {
        val entry = StoreEntry(value, revision, leaseId)
        entries[key] = entry
        history.add(StoreChange(revision, key, entry))
    }

    /** Removes [key], if it is there, under the present revision. */
    fun remove(key: String) {
        if (entries.remove(key) != null) history.add(StoreChange(revision, key, null))
    }

    fun changesAfter(revision: Long): List<StoreChange> {
        val index = history.binarySearchBy(revision + 1) { it.revision }
        var first = if (index < 0) -index - 1 else index
        while (first > 0 && history[first - 1].revision > revision) first--
        return history.subList(first, history.size)
    }

    /** The changes so far are no longer told to watches. */
    fun compact() {
        compactedRevision = revision
        history.clear()
    }
}
