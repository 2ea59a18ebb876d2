package ledgearch.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests the state changes of a zone between up, suspect, lost and returning. */
internal class ZoneHealthTest {
    private val allReporting = ZoneObservation(20, 20, isPartitioned = false, isAnyZoneHealthy = true)
    private val partitioned = ZoneObservation(20, 0, isPartitioned = true, isAnyZoneHealthy = true)

    @Test
    fun `a zone is suspect, lost, returning and up again`() {
        val zone = ZoneHealth("b")
        zone.update(allReporting.copy(reportingCount = 13), 1_000)
        assertEquals(ZoneState.SUSPECT, zone.state)
        // Too few to change from suspect to up, but enough not to change from up to suspect.
        zone.update(allReporting.copy(reportingCount = 16), 2_000)
        assertEquals(ZoneState.SUSPECT, zone.state)
        zone.update(partitioned, 3_000)
        assertEquals(ZoneState.LOST to 0.0, zone.state to zone.admittedShare)
        zone.update(allReporting, 10_000)
        assertEquals(ZoneState.RETURNING to RecoveryTuning.RAMP_SHARES.first(), zone.state to zone.admittedShare)
        for (second in 11..40L) zone.update(allReporting, second * 1000)
        assertEquals(ZoneState.UP to 1.0, zone.state to zone.admittedShare)
    }

    @Test
    fun `silence that this node may cause makes no zone suspect`() {
        val zone = ZoneHealth("b")
        zone.update(allReporting.copy(reportingCount = 0, isAnyZoneHealthy = false), 1_000)
        assertEquals(ZoneState.UP, zone.state)
    }

    @Test
    fun `a returning zone with few machines is lost again when none of them reports`() {
        val zone = ZoneHealth("b")
        zone.update(partitioned, 1_000)
        zone.update(allReporting, 2_000)
        zone.update(ZoneObservation(2, 0, isPartitioned = false, isAnyZoneHealthy = true), 3_000)
        assertEquals(ZoneState.LOST, zone.state)
    }

    @Test
    fun `a flapping zone is suppressed for a bounded time however often it flaps`() {
        val zone = ZoneHealth("b")
        for (loss in 0 until 50L) {
            zone.update(partitioned, loss * 2_000)
            zone.update(allReporting, loss * 2_000 + 1_000)
        }
        val lastReturnMs = 99_000L
        assertTrue(zone.isSuppressed)
        zone.update(allReporting, lastReturnMs + 40_000)
        assertEquals(0.0, zone.admittedShare)
        zone.update(allReporting, lastReturnMs + 65_000)
        assertFalse(zone.isSuppressed)
    }
}
