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

/** Tests that sockets, timers and the owner's batches share one thread and none of them starves the others. */
internal class EventLoopTest {
    private val loop = EventLoop("test-loop")

    @AfterEach
    fun shutDown() {
        loop.group.shutdownNow()
    }

    @Test
    fun `timers fire in the order of their due times, and cancelled ones do not fire`() {
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
    fun `a call that exceeds its time-out is cancelled, and later calls work`() =
        runBlocking(loop) {
            assertNull(withTimeoutOrNull(100) { delay(60_000) })
            assertEquals("done", withTimeoutOrNull(60_000) { delay(50).let { "done" } })
        }

    @Test
    fun `coroutines launched from other threads run on the loop's thread`() {
        val name = runBlocking { withContext(loop) { delay(1).let { Thread.currentThread().name } } }
        assertTrue(name.startsWith("test-loop"), name)
    }

    /** The clock stands still, so the time that the machine takes to accept the clients does not matter. */
    @Test
    fun `waiting clients are accepted and read before the next batch of the owner`() {
        assertEquals(CLIENTS, servedBeforeBatch { 0L })
    }

    /** Each reading of the clock advances it beyond the time for which sockets may delay the owner's batch. */
    @Test
    fun `clients do not delay the owner's batch beyond the limit`() {
        val readings = AtomicLong()
        val served =
            servedBeforeBatch {
                readings.incrementAndGet() * (HttpTuning.MAX_SOCKET_POLLING_MS + 1) * NANOS_PER_MS
            }
        assertTrue(served < CLIENTS, "$served clients were served first")
    }

    /** Returns how many of [CLIENTS] waiting clients a loop with this clock serves before a batch of the owner. */
    private fun servedBeforeBatch(nanos: () -> Long): Int {
        val loopWithClock = EventLoop("test-loop-with-clock", nanos)
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        var served = 0
        val server =
            HttpServer(CoroutineScope(loopWithClock + SupervisorJob()), loopWithClock.group, 100) {
                Response(200, "{}").also { served++ }
            }
        server.start("127.0.0.1:$port")
        val batch = CompletableFuture<Int>()
        val clients =
            runBlocking(loopWithClock) {
                // The loop is busy meanwhile, so all clients wait in the kernel's queue.
                val waiting = List(CLIENTS) { Socket(InetAddress.getLoopbackAddress(), port) }
                waiting.forEach { it.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray()) }
                CoroutineScope(loopWithClock).launch(loopWithClock.afterSockets) { batch.complete(served) }
                waiting
            }
        val result = batch.get(BATCH_TIMEOUT_S, TimeUnit.SECONDS)
        clients.forEach { it.close() }
        loopWithClock.group.shutdownNow()
        return result
    }

    private companion object {
        const val CLIENTS = 12
        const val NANOS_PER_MS = 1_000_000L
        const val BATCH_TIMEOUT_S = 20L
    }
}
