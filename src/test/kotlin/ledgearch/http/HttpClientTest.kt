package ledgearch.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.Executors

/** Tests that every call ends with a reply, even one that can't be started; its caller would wait for ever. */
internal class HttpClientTest {
    private val group = AsynchronousChannelGroup.withThreadPool(Executors.newSingleThreadExecutor())
    private val client = HttpClient(group)

    @AfterEach
    fun shutDown() = group.shutdownNow()

    private fun call(address: String): Reply = runBlocking { client.call(address, "GET", "/", null, TIMEOUT_MS) }

    @Test
    fun `a malformed address gives no reply`() {
        assertEquals(Reply.NONE, call("nowhere"))
        assertEquals(Reply.NONE, call("127.0.0.1:port"))
        assertEquals(Reply.NONE, call("127.0.0.1:99999"))
    }

    @Test
    fun `an unresolvable host name gives no reply`() {
        assertEquals(Reply.NONE, call("no-such-host.invalid:80"))
    }

    @Test
    fun `failed calls leave no connection open`() {
        repeat(3) { call("127.0.0.1:99999") }
        assertEquals(0, client.openCount)
    }

    private companion object {
        const val TIMEOUT_MS = 2_000L
    }
}
