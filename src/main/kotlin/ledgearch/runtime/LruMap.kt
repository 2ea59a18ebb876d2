package ledgearch.runtime

/**
 * A map of at most [most] entries, from which the least recently used one goes first; reading an entry uses it. For one
 * thread, as all that the owner has; a library's concurrent cache would take a tenth of the start-up time for what is
 * not needed here.
 */
internal class LruMap<K, V>(
    private val most: Long,
) : LinkedHashMap<K, V>(FIRST_CAPACITY, LOAD_FACTOR, BY_USE) {
    override fun removeEldestEntry(eldest: MutableMap.MutableEntry<K, V>): Boolean = size > most

    private companion object {
        const val FIRST_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f

        /** The order of the entries is that of their last use, not that of their insertion. */
        const val BY_USE = true
    }
}
