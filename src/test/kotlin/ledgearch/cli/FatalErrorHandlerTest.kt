package ledgearch.cli

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Errors end the process, and so does any failure of the owner's loop. */
internal class FatalErrorHandlerTest {
    private fun exitCodesAfter(failure: Throwable): List<Int> {
        val codes = ArrayList<Int>()
        val queue = OwnerQueue()
        queue.offerTick()
        runBlocking { OwnerLoop(queue, FatalErrorHandler { codes.add(it) }) { throw failure }.run() }
        return codes
    }

    @Test
    fun `any failure of the owner ends the process`() {
        assertEquals(listOf(ExitCodes.FAILURE), exitCodesAfter(OutOfMemoryError()))
        assertEquals(listOf(ExitCodes.FAILURE), exitCodesAfter(IllegalStateException()))
    }

    @Test
    fun `an error in a coroutine ends the process, an exception does not`() {
        val codes = ArrayList<Int>()
        val fatalErrorHandler = FatalErrorHandler { codes.add(it) }
        fatalErrorHandler.handleUncaught(IllegalStateException("connection failed"))
        assertEquals(emptyList<Int>(), codes)
        fatalErrorHandler.handleUncaught(StackOverflowError())
        assertEquals(listOf(ExitCodes.FAILURE), codes)
    }
}
