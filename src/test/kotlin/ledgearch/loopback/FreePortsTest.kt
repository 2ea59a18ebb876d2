package ledgearch.loopback

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.concurrent.thread

/** Addresses for servers on loopback can be bound, whatever else starts at that moment. */
internal class FreePortsTest {
    @Test
    fun `an address can be bound while other processes are started`() {
        val isOver = AtomicBoolean()
        val hasStarted = CountDownLatch(STARTING_THREADS)
        val starting =
            List(STARTING_THREADS) {
                thread {
                    while (!isOver.get()) {
                        ProcessBuilder("true").start().waitFor()
                        hasStarted.countDown()
                    }
                }
            }
        assertTrue(hasStarted.await(START_TIMEOUT_S, TimeUnit.SECONDS))
        val ports = FreePorts()
        val failures =
            (0 until BINDS).mapNotNull {
                val port = ports.next().substringAfter(':').toInt()
                runCatching { ServerSocket(port, 1, InetAddress.getByName("127.0.0.1")).close() }.exceptionOrNull()
            }
        isOver.set(true)
        starting.forEach { it.join() }
        assertEquals(emptyList<Throwable>(), failures)
    }

    @Test
    fun `another command gets none of this command's ports`() {
        val ports = FreePorts()
        val other = runOtherCommand()
        val port = ports.next().substringAfter(':').toInt()
        assertTrue(other.toInt() / PORTS_PER_BLOCK != port / PORTS_PER_BLOCK, "$other and $port")
    }

    private fun runOtherCommand(): String {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val process =
            ProcessBuilder(java, "-cp", classPath, "ledgearch.loopback.FreePortsTestKt")
                .redirectErrorStream(true)
                .start()
        val output = process.inputStream.bufferedReader().readText()
        assertEquals(0, process.waitFor(), output)
        return output.trim()
    }

    private companion object {
        const val STARTING_THREADS = 4
        const val START_TIMEOUT_S = 30L
        const val BINDS = 1_500
        const val PORTS_PER_BLOCK = 4_000
    }
}

/** Prints a port that another command would use. */
fun main() = println(FreePorts().next().substringAfter(':'))
