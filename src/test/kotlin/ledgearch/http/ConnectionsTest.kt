package ledgearch.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests which connection is closed for a new one when the limit is reached. */
internal class ConnectionsTest {
    private val closed = ArrayList<String>()
    private val connections = Connections(maxOpen = 3, minEvictionIdleMs = 1000)

    private fun open(
        name: String,
        longLived: Boolean = false,
    ) = Connection { closed.add(name) }.also {
        it.isLongLived = longLived
        connections.add(it)
    }

    @Test
    fun `closes nothing below the limit`() {
        connections.markIdle(open("a"), 0)
        assertTrue(connections.makeRoom(5000))
        assertEquals(emptyList<String>(), closed)
    }

    @Test
    fun `closes the longest idle connection and none that is busy`() {
        val (a, b, c) = listOf("a", "b", "c").map { open(it) }
        connections.markIdle(b, 10)
        connections.markIdle(a, 20)
        connections.markIdle(c, 30)
        connections.markBusy(b)
        assertTrue(connections.makeRoom(40))
        assertEquals(listOf("a"), closed)
        connections.close(a)
        assertEquals(2, connections.openCount)
    }

    @Test
    fun `closes only connections whose deadline has passed`() {
        val (expired, pending, beingAnswered) = listOf("expired", "in time", "answered").map { open(it) }
        expired.deadlineMs = 100
        pending.deadlineMs = 200
        connections.closeExpired(150)
        assertEquals(listOf("expired"), closed)
        assertEquals(2, connections.openCount)
        assertEquals(Long.MAX_VALUE, beingAnswered.deadlineMs)
    }

    @Test
    fun `closes long-lived connections only after the minimum idle time`() {
        val workers = listOf("w1", "w2").map { open(it, longLived = true) }
        val user = open("u")
        connections.markIdle(workers[0], 0)
        connections.markIdle(workers[1], 100)
        connections.markIdle(user, 200)
        assertTrue(connections.makeRoom(300))
        assertEquals(listOf("u"), closed)
        open("busy")
        assertFalse(connections.makeRoom(900))
        assertTrue(connections.makeRoom(1001))
        assertEquals(listOf("u", "w1"), closed)
    }
}
