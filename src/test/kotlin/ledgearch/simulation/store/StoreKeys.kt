package ledgearch.simulation.store

import kotlinx.serialization.json.JsonElement
import java.util.TreeMap

/** A stored value with the revision of its last change and the lease that removes it, if any. */
internal class StoreEntry(
    val value: JsonElement,
    val modRevision: Long,
    val leaseId: Long?,
)

/** A change of a key: written, or removed if there is no entry. */
internal class StoreChange(
    val revision: Long,
    val key: String,
    val entry: StoreEntry?,
)

/** The keys of the [FakeStore] and the history of their changes. */
internal class StoreKeys {
    private val entries = TreeMap<String, StoreEntry>()

    private val history = ArrayList<StoreChange>()
    var revision = 0L
        private set

    /** The revision up to which changes have been compacted: watches cannot start before it. */
    var compactedRevision = 0L
        private set

    operator fun get(key: String): StoreEntry? = entries[key]

    /** Returns the revision of the last change of [key], or 0 if there is no such key. */
    fun modRevision(key: String): Long = entries[key]?.modRevision ?: 0

    fun withPrefix(prefix: String): List<String> = entries.tailMap(prefix).keys.takeWhile { it.startsWith(prefix) }

    fun ofLeases(leaseIds: Set<Long>): List<String> = entries.filterValues { it.leaseId in leaseIds }.keys.toList()

    /** Begins a new revision for the changes that follow. */
    fun nextRevision() {
        revision++
    }

    /** Writes [value] at the current revision. */
    fun put(
        key: String,
        value: JsonElement,
        leaseId: Long?,
    ) {
        val entry = StoreEntry(value, revision, leaseId)
        entries[key] = entry
        history.add(StoreChange(revision, key, entry))
    }

    /** Removes [key], if present, at the current revision. */
    fun remove(key: String) {
        if (entries.remove(key) != null) history.add(StoreChange(revision, key, null))
    }

    fun changesAfter(revision: Long): List<StoreChange> {
        val index = history.binarySearchBy(revision + 1) { it.revision }
        var first = if (index < 0) -index - 1 else index
        while (first > 0 && history[first - 1].revision > revision) first--
        return history.subList(first, history.size)
    }

    /** Discards the history up to the current revision. */
    fun compact() {
        compactedRevision = revision
        history.clear()
    }
}
