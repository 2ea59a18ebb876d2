package ledgearch.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
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
import java.util.concurrent.atomic.AtomicLong

/** Sockets, timers and the owner's turns share one thread: none of them keeps the others out. */
internal class EventLoopTest {
    private val loop = EventLoop("test-loop")

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
    fun `coroutines launched elsewhere run on the loop's thread`() {
        val name = runBlocking { withContext(loop) { delay(1).let { Thread.currentThread().name } } }
        assertTrue(name.startsWith("test-loop"), name)
    }

    /** The clock stands still: how long the machine takes to accept the callers is no matter here. */
    @Test
    fun `callers who wait are accepted and read before the next turn of the owner`() {
        assertEquals(CALLERS, servedBeforeTurn { 0L })
    }

    /** With each reading of the clock, more time passes than the sockets may take before a turn. */
    @Test
    fun `callers do not keep the owner's turn waiting for longer than they may`() {
        val readings = AtomicLong()
        val served = servedBeforeTurn { readings.incrementAndGet() * (HttpTuning.SOCKETS_MS + 1) * NANOS_PER_MS }
        assertTrue(served < CALLERS, "$served callers were served first")
    }

    /** How many of [CALLERS] that wait are served before a turn of the owner, on a loop with this clock. */
    private fun servedBeforeTurn(nanos: () -> Long): Int {
        val clocked = EventLoop("test-clocked", nanos)
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        var served = 0
        val server =
            HttpServer(CoroutineScope(clocked + SupervisorJob()), clocked.group, 100) {
                Response(200, "{}").also { served++ }
            }
        server.start("127.0.0.1:$port")
        val turn = CompletableFuture<Int>()
        val callers =
            runBlocking(clocked) {
                // The loop is busy meanwhile, so all callers wait in the kernel's queue.
                val waiting = List(CALLERS) { Socket(InetAddress.getLoopbackAddress(), port) }
                waiting.forEach { it.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray()) }
                CoroutineScope(clocked).launch(clocked.afterSockets) { turn.complete(served) }
                waiting
            }
        val result = turn.get(LIMIT_S, TimeUnit.SECONDS)
        callers.forEach { it.close() }
        clocked.group.shutdownNow()
        return result
    }

    private companion object {
        const val CALLERS = 12
        const val NANOS_PER_MS = 1_000_000L
        const val LIMIT_S = 20L
    }
}
