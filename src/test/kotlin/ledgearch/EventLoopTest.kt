package ledgearch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import ledgearch.http.EventLoop
import ledgearch.http.HttpServer
import ledgearch.http.Response
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Sockets, timers and the owner's turns share one thread: none of them keeps the others out. */
internal class EventLoopTest {
    private val loop = EventLoop("test-loop")
    private val scope = CoroutineScope(loop + SupervisorJob())

    @AfterEach
    fun end() {
        loop.group.shutdownNow()
    }

    @Test
    fun `timers fire in the order in which they are due, and a cancelled one does not`() {
        val fired = ArrayList<String>()
        runBlocking(loop) {
            val later = launch { delay(200).also { fired.add("later") } }
            launch { delay(100).also { fired.add("sooner") } }
            launch { delay(150).also { fired.add("never") } }.also { it.cancel() }
            later.join()
        }
        assertEquals(listOf("sooner", "later"), fired)
    }

    @Test
    fun `a call that takes too long is given up, and what follows goes on`() =
        runBlocking(loop) {
            assertNull(withTimeoutOrNull(100) { delay(60_000) })
            assertEquals("done", withTimeoutOrNull(60_000) { delay(50).let { "done" } })
        }

    @Test
    fun `coroutines begun elsewhere run on the loop's thread`() {
        val name = runBlocking { withContext(loop) { delay(1).let { Thread.currentThread().name } } }
        assertTrue(name.startsWith("test-loop"), name)
    }

    @Test
    fun `callers who wait are accepted and read before the next turn of the owner`() {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        var served = 0
        HttpServer(scope, loop.group, 100) { Response(200, "{}").also { served++ } }.start("127.0.0.1:$port")
        val turn = CompletableFuture<Int>()
        val callers =
            runBlocking(loop) {
                // The loop is busy meanwhile, so all callers wait in the kernel's queue.
                val waiting = List(CALLERS) { Socket(InetAddress.getLoopbackAddress(), port) }
                waiting.forEach { it.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray()) }
                scope.launch(loop.afterSockets) { turn.complete(served) }
                waiting
            }
        assertEquals(CALLERS, turn.get(LIMIT_S, TimeUnit.SECONDS))
        callers.forEach { it.close() }
    }

    private companion object {
        /** Few enough to be accepted in the time that goes to the sockets before each turn. */
        const val CALLERS = 12
        const val LIMIT_S = 20L
    }
}
