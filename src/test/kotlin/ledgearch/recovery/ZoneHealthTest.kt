package ledgearch.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** The states of a zone: up, suspect, lost, returning. */
internal class ZoneHealthTest {
    private val heard = ZoneObservation(20, 20, partitioned = false, anyZoneWell = true)
    private val cutOff = ZoneObservation(20, 0, partitioned = true, anyZoneWell = true)

    @Test
    fun `a zone is suspect, lost, returning and up again`() {
        val zone = ZoneHealth("b")
        zone.look(heard.copy(heard = 13), 1_000)
        assertEquals(ZoneState.SUSPECT, zone.state)
        // Not well enough to be up, and not bad enough to become suspect if it were.
        zone.look(heard.copy(heard = 16), 2_000)
        assertEquals(ZoneState.SUSPECT, zone.state)
        zone.look(cutOff, 3_000)
        assertEquals(ZoneState.LOST to 0.0, zone.state to zone.admittedShare)
        zone.look(heard, 10_000)
        assertEquals(ZoneState.RETURNING to RecoveryTuning.RAMP_SHARES.first(), zone.state to zone.admittedShare)
        for (second in 11..40L) zone.look(heard, second * 1000)
        assertEquals(ZoneState.UP to 1.0, zone.state to zone.admittedShare)
    }

    @Test
    fun `what may be this node's own fault makes no zone suspect`() {
        val zone = ZoneHealth("b")
        zone.look(heard.copy(heard = 0, anyZoneWell = false), 1_000)
        assertEquals(ZoneState.UP, zone.state)
    }

    @Test
    fun `a returning zone of few machines is lost again when none of them is heard`() {
        val zone = ZoneHealth("b")
        zone.look(cutOff, 1_000)
        zone.look(heard, 2_000)
        zone.look(ZoneObservation(2, 0, partitioned = false, anyZoneWell = true), 3_000)
        assertEquals(ZoneState.LOST, zone.state)
    }

    @Test
    fun `a zone that flaps is held back for a bounded time, however often it flaps`() {
        val zone = ZoneHealth("b")
        for (loss in 0 until 50L) {
            zone.look(cutOff, loss * 2_000)
            zone.look(heard, loss * 2_000 + 1_000)
        }
        val back = 99_000L
        assertTrue(zone.isSuppressed)
        zone.look(heard, back + 40_000)
        assertEquals(0.0, zone.admittedShare)
        zone.look(heard, back + 65_000)
        assertFalse(zone.isSuppressed)
    }
}
