package ledgearch.runtime

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the detection of event-loop lag and the silence counted without it. */
internal class EventLoopLagMonitorTest {
    private val clock = Clock()
    private val lagMonitor = EventLoopLagMonitor(clock, Metrics(clock) { 0L })

    /** Handles a tick at [ms] that waited in the queue for [waitedMs] ms. */
    private fun handleTick(
        ms: Long,
        waitedMs: Long = 0,
    ) {
        clock.steadyMs = ms
        lagMonitor.recordTick(ms - waitedMs)
    }

    private fun handleRegularTicks(
        fromMs: Long,
        untilMs: Long,
        waitedMs: Long = 0,
    ) {
        for (ms in fromMs..untilMs step RuntimeTuning.TICK_INTERVAL_MS) handleTick(ms, waitedMs)
    }

    @Test
    fun `regular ticks do not count as lag`() {
        handleRegularTicks(1_000, 2_000)
        assertFalse(lagMonitor.isLagging)
        assertEquals(900, lagMonitor.responsiveMsSince(1_100))
    }

    @Test
    fun `a late tick marks the node as lagging until it has caught up`() {
        handleTick(1_000)
        handleTick(1_000 + RuntimeTuning.TICK_INTERVAL_MS + RuntimeTuning.LAG_THRESHOLD_MS + 1)
        assertTrue(lagMonitor.isLagging)
        clock.steadyMs += RuntimeTuning.CATCH_UP_MS
        assertFalse(lagMonitor.isLagging)
    }

    @Test
    fun `regular ticks that each waited long mark the node as lagging`() {
        handleRegularTicks(1_000, 3_000, waitedMs = 600)
        assertTrue(lagMonitor.isLagging)
        assertEquals(0, lagMonitor.responsiveMsSince(1_500))
    }

    @Test
    fun `a missing tick marks the node as lagging before it is handled`() {
        handleTick(1_000)
        clock.steadyMs = 3_000
        lagMonitor.measureLag()
        assertTrue(lagMonitor.isLagging)
        assertTrue(lagMonitor.wasLaggingSince(2_900))
    }

    @Test
    fun `silence counts only while the node does not lag`() {
        handleRegularTicks(1_000, 5_000)
        handleTick(8_000)
        handleRegularTicks(8_050, 20_000)
        val laggingMs = 8_000 + RuntimeTuning.CATCH_UP_MS - 5_000
        assertEquals(19_000 - laggingMs, lagMonitor.responsiveMsSince(1_000))
        assertEquals(20_000 - 8_000 - RuntimeTuning.CATCH_UP_MS, lagMonitor.responsiveMsSince(7_000))
        assertEquals(10_000, lagMonitor.responsiveMsSince(10_000))
        assertFalse(lagMonitor.wasLaggingSince(10_000))
    }

    @Test
    fun `responsiveSince is the inverse of responsiveMsSince`() {
        handleRegularTicks(1_000, 5_000)
        handleTick(8_000)
        handleRegularTicks(8_050, 12_000)
        handleTick(13_500)
        handleRegularTicks(13_550, 20_000)
        for (ms in 0L..14_000L step 137) {
            for (time in 1_000L..20_000L step 89) {
                val since = lagMonitor.responsiveSince(ms)
                assertEquals(lagMonitor.responsiveMsSince(time) > ms, time <= since, "$ms ms, since $time: $since")
            }
        }
    }
}
