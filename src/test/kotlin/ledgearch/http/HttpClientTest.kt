package ledgearch.http

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.Executors

/** Every call ends with a reply, also one that can't even be started: whoever waits for it would wait for ever. */
internal class HttpClientTest {
    private val group = AsynchronousChannelGroup.withThreadPool(Executors.newSingleThreadExecutor())
    private val client = HttpClient(group)

    @AfterEach
    fun end() = group.shutdownNow()

    private fun call(address: String): Reply = runBlocking { client.call(address, "GET", "/", null, TIMEOUT_MS) }

    @Test
    fun `an address that is none has no answer`() {
        assertEquals(Reply.NONE, call("nowhere"))
        assertEquals(Reply.NONE, call("127.0.0.1:port"))
        assertEquals(Reply.NONE, call("127.0.0.1:99999"))
    }

    @Test
    fun `a name that can't be resolved has no answer`() {
        assertEquals(Reply.NONE, call("no-such-host.invalid:80"))
    }

    @Test
    fun `failed calls use up no connections`() {
        repeat(3) { call("127.0.0.1:99999") }
        assertEquals(0, client.open)
    }

    private companion object {
        const val TIMEOUT_MS = 2_000L
    }
}
