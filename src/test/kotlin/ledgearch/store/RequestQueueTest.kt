package ledgearch.store

import ledgearch.config.StateLimits
import ledgearch.http.Reply
import ledgearch.runtime.Clock
import ledgearch.runtime.Transport
import ledgearch.wire.Change
import ledgearch.wire.Condition
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** No kind of request to the state service is held back by another kind that the budget does not allow. */
internal class RequestQueueTest {
    private val clock = Clock()
    private val sent = ArrayList<String>()

    /** Records each request and replies to it at once. */
    private val transport =
        object : Transport {
            override fun call(
                address: String,
                method: String,
                target: String,
                body: String?,
                timeoutMs: Long,
                onReply: (Reply) -> Unit,
            ) {
                sent.add("$target ${body.orEmpty()}")
                onReply(Reply(StoreStatus.OK, "{}"))
            }
        }

    private fun client(
        rps: Double,
        writeRps: Double,
    ) = StoreClient("state", StateLimits(rps, writeRps, 8.0, 16), 1, transport, clock)

    private fun StoreClient.write(
        key: String,
        requestClass: RequestClass = RequestClass.ORDINARY,
    ) = transact(emptyList(), List(CHANGES_PER_WRITE) { Change(remove = "$key/$it") }, requestClass) { }

    private fun StoreClient.compare(key: String) =
        transact(listOf(Condition(key, 1)), emptyList(), RequestClass.ORDINARY) {
        }

    /** Lets the time pass in ticks, on each of which the client sends what its budget allows. */
    private fun StoreClient.run(durationMs: Long) {
        val endMs = clock.steadyMs + durationMs
        while (clock.steadyMs < endMs) {
            clock.steadyMs += TICK_MS
            sendAllowed()
        }
    }

    private fun sentCount(text: String) = sent.count { text in it }

    @Test
    fun `questions are not left unanswered behind writes that wait for the limit on changes`() {
        val client = client(rps = 100.0, writeRps = 2.0)
        repeat(3) { client.write("job") }
        client.sendAllowed()
        client.compare("question")
        client.run(TICK_MS)
        assertEquals(1, sentCount("question"))
    }

    @Test
    fun `questions are not left unanswered behind a watch that is repeated without end`() {
        val client = client(rps = 10.0, writeRps = 10.0)

        fun watch() = client.watch("w/", 0) { watchAgain = true }
        watch()
        client.compare("question")
        repeat(TICKS_PER_SECOND) {
            if (watchAgain) watch()
            watchAgain = false
            client.run(TICK_MS)
        }
        assertEquals(1, sentCount("question"))
        assertTrue(sentCount("/changes") > 1)
    }

    private var watchAgain = false

    @Test
    fun `questions are not left unanswered behind reads of single keys`() {
        val client = client(rps = 10.0, writeRps = 10.0)
        repeat(100) { client.get("key", RequestClass.ORDINARY) { } }
        client.sendAllowed()
        client.compare("question")
        client.run(2 * MS_PER_REQUEST)
        assertEquals(1, sentCount("question"))
    }

    @Test
    fun `a lease is renewed while a write of the leadership record waits for the limit on changes`() {
        val client = client(rps = 100.0, writeRps = 2.0)
        client.write("job")
        client.sendAllowed()
        client.write("leadership", RequestClass.CRITICAL)
        client.keepAlive(1) { }
        client.run(TICK_MS)
        assertEquals(1, sentCount("/leases/1"))
        assertEquals(0, sentCount("leadership"))
    }

    @Test
    fun `an ordinary write takes no changes from a write of the leadership record`() {
        val client = client(rps = 100.0, writeRps = 20.0)
        repeat(2) { client.write("spent") }
        client.sendAllowed()
        client.write("job")
        client.write("leadership", RequestClass.CRITICAL)
        client.run(MS_PER_SECOND)
        val order = sent.filter { "spent" !in it }
        assertTrue("leadership" in order.first(), order.toString())
    }

    private companion object {
        const val CHANGES_PER_WRITE = 16
        const val TICK_MS = 50L
        const val TICKS_PER_SECOND = 20
        const val MS_PER_SECOND = 1_000L

        /** Time in which the budget of 9 requests a second allows one. */
        const val MS_PER_REQUEST = 112L
    }
}
