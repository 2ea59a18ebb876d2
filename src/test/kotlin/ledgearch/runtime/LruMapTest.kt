package ledgearch.runtime

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the bounded map that caches final job states. */
internal class LruMapTest {
    @Test
    fun `evicts the least recently used entry`() {
        val map = LruMap<String, Int>(maxEntries = 2)
        map["a"] = 1
        map["b"] = 2
        assertEquals(1, map["a"])
        map["c"] = 3
        assertEquals(setOf("a", "c"), map.keys)
    }

    @Test
    fun `a map without capacity stores no entry`() {
        val map = LruMap<String, Int>(maxEntries = 0)
        map["a"] = 1
        assertEquals(null, map["a"])
    }
}
