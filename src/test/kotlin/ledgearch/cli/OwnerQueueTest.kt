package ledgearch.cli

import kotlinx.coroutines.runBlocking
import ledgearch.control.OwnerCommand
import ledgearch.http.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Heartbeats, replies and ticks never wait behind users' requests, which are rejected while their queue is full. */
internal class OwnerQueueTest {
    private val queue = OwnerQueue()

    private fun request(path: String) = OwnerCommand.ServeRequest(Request("GET", path, "", true)) { }

    private fun takeBatch(): List<String> =
        ArrayList<OwnerCommand>()
            .also { runBlocking { queue.takeBatch(it) } }
            .map { (it as? OwnerCommand.ServeRequest)?.request?.path ?: "other" }

    @Test
    fun `heartbeats overtake users' requests, which keep their reserved part of the batch`() {
        repeat(200) { assertTrue(queue.offerUserRequest(request("/work"))) }
        runBlocking { repeat(DaemonTuning.MAX_BATCH_SIZE) { queue.put(request("/checkin")) } }
        val batch = takeBatch()
        assertEquals(DaemonTuning.MAX_BATCH_SIZE, batch.size)
        assertEquals(DaemonTuning.RESERVED_USER_COMMANDS, batch.count { it == "/work" })
        assertTrue(batch.takeLast(DaemonTuning.RESERVED_USER_COMMANDS).all { it == "/work" })
    }

    @Test
    fun `users' requests beyond the capacity are rejected at once, heartbeats are not`() {
        repeat(DaemonTuning.USER_QUEUE_CAPACITY) { assertTrue(queue.offerUserRequest(request("/work"))) }
        assertFalse(queue.offerUserRequest(request("/work")))
        runBlocking { queue.put(request("/checkin")) }
        queue.offerTick()
        assertEquals(listOf("/checkin", "other"), takeBatch().take(2))
        assertTrue(queue.offerUserRequest(request("/work")))
    }
}
