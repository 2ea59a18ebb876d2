package ledgearch.runtime

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** When a node knows that it does not keep up, and what silence it counts. */
internal class StallCompensationTest {
    private val clock = Clock()
    private val stalls = StallCompensation(clock, Metrics(clock) { 0L })

    /** A tick is seen at [ms] that waited for [waited] ms. */
    private fun tickAt(
        ms: Long,
        waited: Long = 0,
    ) {
        clock.steadyMs = ms
        stalls.ticked(ms - waited)
    }

    private fun ticksInTime(
        from: Long,
        until: Long,
        waited: Long = 0,
    ) {
        for (ms in from..until step RuntimeTuning.TICK_MS) tickAt(ms, waited)
    }

    @Test
    fun `ticks in time are no sign of being behind`() {
        ticksInTime(1_000, 2_000)
        assertFalse(stalls.isLagging)
        assertEquals(900, stalls.attentiveMsSince(1_100))
    }

    @Test
    fun `a late tick shows a node that is behind for a while`() {
        tickAt(1_000)
        tickAt(1_000 + RuntimeTuning.TICK_MS + RuntimeTuning.BEHIND_MS + 1)
        assertTrue(stalls.isLagging)
        clock.steadyMs += RuntimeTuning.CATCH_UP_MS
        assertFalse(stalls.isLagging)
    }

    @Test
    fun `ticks that come regularly show it too when each has waited long`() {
        ticksInTime(1_000, 3_000, waited = 600)
        assertTrue(stalls.isLagging)
        assertEquals(0, stalls.attentiveMsSince(1_500))
    }

    @Test
    fun `a tick that is missing shows it before it comes`() {
        tickAt(1_000)
        clock.steadyMs = 3_000
        stalls.began()
        assertTrue(stalls.isLagging)
        assertTrue(stalls.wasLaggingSince(2_900))
    }

    @Test
    fun `silence counts as long as the node keeps up, before and after it was behind`() {
        ticksInTime(1_000, 5_000)
        tickAt(8_000)
        ticksInTime(8_050, 20_000)
        val behind = 8_000 + RuntimeTuning.CATCH_UP_MS - 5_000
        assertEquals(19_000 - behind, stalls.attentiveMsSince(1_000))
        assertEquals(20_000 - 8_000 - RuntimeTuning.CATCH_UP_MS, stalls.attentiveMsSince(7_000))
        assertEquals(10_000, stalls.attentiveMsSince(10_000))
        assertFalse(stalls.wasLaggingSince(10_000))
    }

    @Test
    fun `the time since which a node kept up for so long is the one that the silence since a time gives`() {
        ticksInTime(1_000, 5_000)
        tickAt(8_000)
        ticksInTime(8_050, 12_000)
        tickAt(13_500)
        ticksInTime(13_550, 20_000)
        for (ms in 0L..14_000L step 137) {
            for (time in 1_000L..20_000L step 89) {
                val since = stalls.attentiveSince(ms)
                assertEquals(stalls.attentiveMsSince(time) > ms, time <= since, "$ms ms, since $time: $since")
            }
        }
    }
}
