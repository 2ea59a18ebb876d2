package ledgearch.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** With all sockets taken, which connection makes room for the next. */
internal class ConnectionsTest {
    private val closed = ArrayList<String>()
    private val connections = Connections(most = 3, staleMs = 1000)

    private fun open(
        name: String,
        kept: Boolean = false,
    ) = Connection { closed.add(name) }.also {
        it.isKept = kept
        connections.opened(it)
    }

    @Test
    fun `nothing is closed while there is room`() {
        connections.unused(open("a"), 0)
        assertTrue(connections.makeRoom(5000))
        assertEquals(emptyList<String>(), closed)
    }

    @Test
    fun `the one unused longest goes, and none that is in use`() {
        val (a, b, c) = listOf("a", "b", "c").map { open(it) }
        connections.unused(b, 10)
        connections.unused(a, 20)
        connections.unused(c, 30)
        connections.used(b)
        assertTrue(connections.makeRoom(40))
        assertEquals(listOf("a"), closed)
        connections.close(a)
        assertEquals(2, connections.open)
    }

    @Test
    fun `callers who are past their time are closed, others and those being answered stay`() {
        val (late, inTime, answered) = listOf("late", "in time", "answered").map { open(it) }
        late.deadline = 100
        inTime.deadline = 200
        connections.closeLate(150)
        assertEquals(listOf("late"), closed)
        assertEquals(2, connections.open)
        assertEquals(Long.MAX_VALUE, answered.deadline)
    }

    @Test
    fun `kept ones stay until they are stale`() {
        val workers = listOf("w1", "w2").map { open(it, kept = true) }
        val user = open("u")
        connections.unused(workers[0], 0)
        connections.unused(workers[1], 100)
        connections.unused(user, 200)
        assertTrue(connections.makeRoom(300))
        assertEquals(listOf("u"), closed)
        open("busy")
        assertFalse(connections.makeRoom(900))
        assertTrue(connections.makeRoom(1001))
        assertEquals(listOf("u", "w1"), closed)
    }
}
