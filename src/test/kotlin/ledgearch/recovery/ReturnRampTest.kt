package ledgearch.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** How the share of a returning zone that may take work grows. */
internal class ReturnRampTest {
    @Test
    fun `a failure takes the ramp one step back and slows it, several at once count as one`() {
        val ramp = ReturnRamp()
        ramp.begin(0)
        ramp.look(RecoveryTuning.RAMP_STEP_MS)
        ramp.look(2 * RecoveryTuning.RAMP_STEP_MS)
        assertEquals(RecoveryTuning.RAMP_SHARES[2], ramp.share)
        repeat(5) { ramp.failed(2 * RecoveryTuning.RAMP_STEP_MS + it) }
        assertEquals(RecoveryTuning.RAMP_SHARES[1], ramp.share)
        ramp.look(3 * RecoveryTuning.RAMP_STEP_MS + 10)
        assertEquals(RecoveryTuning.RAMP_SHARES[1], ramp.share)
        ramp.look(2 * RecoveryTuning.RAMP_STEP_MS + RecoveryTuning.RAMP_SLOWED_MS)
        assertEquals(RecoveryTuning.RAMP_SHARES[2], ramp.share)
    }
}
