package ledgearch

import ledgearch.core.Metrics
import ledgearch.core.Now
import ledgearch.core.StallCompensation
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** When a node knows that it does not keep up. */
internal class StallCompensationTest {
    private val now = Now()
    private val stalls = StallCompensation(now, Metrics(now) { 0L })

    private fun tickAt(ms: Long) {
        now.steady = ms
        stalls.ticked()
    }

    @Test
    fun `ticks in time are no sign of being busy`() {
        for (tick in 1..20L) tickAt(tick * Tuning.TICK_MS)
        assertFalse(stalls.isBusy)
    }

    @Test
    fun `a late tick shows a busy node for a while`() {
        tickAt(1_000)
        tickAt(1_000 + Tuning.BUSY_TICK_MS + 1)
        assertTrue(stalls.isBusy)
        now.steady += Tuning.BUSY_MS
        assertFalse(stalls.isBusy)
    }

    @Test
    fun `commands that wait show it too`() {
        tickAt(1_000)
        stalls.behind = true
        assertTrue(stalls.isBusy)
    }
}
