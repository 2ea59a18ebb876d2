package ledgearch.cli

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** An error ends the process, which is started again; so does anything that ends the owner's loop. */
internal class CrashTest {
    private fun exitCodeAfter(failure: Throwable): List<Int> {
        val codes = ArrayList<Int>()
        val queue = OwnerQueue()
        queue.tick()
        runBlocking { OwnerLoop(queue, Crash { codes.add(it) }) { throw failure }.run() }
        return codes
    }

    @Test
    fun `the owner ends with its process and not without it`() {
        assertEquals(listOf(ExitCodes.FAILURE), exitCodeAfter(OutOfMemoryError()))
        assertEquals(listOf(ExitCodes.FAILURE), exitCodeAfter(IllegalStateException()))
    }

    @Test
    fun `an error anywhere in the process ends it, an exception does not`() {
        val codes = ArrayList<Int>()
        val crash = Crash { codes.add(it) }
        crash.uncaught(IllegalStateException("a connection fails"))
        assertEquals(emptyList<Int>(), codes)
        crash.uncaught(StackOverflowError())
        assertEquals(listOf(ExitCodes.FAILURE), codes)
    }
}
