package ledgearch.cli

import kotlinx.coroutines.runBlocking
import ledgearch.control.OwnerCommand
import ledgearch.http.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Heartbeats, answers and time never wait behind users, and users are turned away rather than kept waiting. */
internal class OwnerQueueTest {
    private val queue = OwnerQueue()

    private fun request(path: String) = OwnerCommand.ServeRequest(Request("GET", path, "", true)) { }

    private fun batch(): List<String> =
        ArrayList<OwnerCommand>()
            .also { runBlocking { queue.take(it) } }
            .map { (it as? OwnerCommand.ServeRequest)?.request?.path ?: "other" }

    @Test
    fun `heartbeats overtake users, who still get their part`() {
        repeat(200) { assertTrue(queue.offer(request("/work"))) }
        runBlocking { repeat(DaemonTuning.BATCH) { queue.put(request("/checkin")) } }
        val taken = batch()
        assertEquals(DaemonTuning.BATCH, taken.size)
        assertEquals(DaemonTuning.USERS_IN_BATCH, taken.count { it == "/work" })
        assertTrue(taken.takeLast(DaemonTuning.USERS_IN_BATCH).all { it == "/work" })
    }

    @Test
    fun `one user too many is turned away at once, heartbeats are not`() {
        repeat(DaemonTuning.USERS_QUEUE) { assertTrue(queue.offer(request("/work"))) }
        assertFalse(queue.offer(request("/work")))
        runBlocking { queue.put(request("/checkin")) }
        queue.tick()
        assertEquals(listOf("/checkin", "other"), batch().take(2))
        assertTrue(queue.offer(request("/work")))
    }
}
