package ledgearch.runtime

/**
 * A map of at most [maxEntries] entries that evicts the least recently used one; reading an entry counts as use. It is
 * not thread-safe and is used by the owner thread only. A concurrent cache from a library would add a tenth to the
 * start-up time.
 */
internal class LruMap<K, V>(
    private val maxEntries: Long,
) : LinkedHashMap<K, V>(INITIAL_CAPACITY, LOAD_FACTOR, ACCESS_ORDER) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > maxEntries

    private companion object {
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f

        /** Orders the entries by their last use instead of their insertion. */
        const val ACCESS_ORDER = true
    }
}
