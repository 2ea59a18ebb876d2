package ledgearch.recovery

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests how the admitted share of a returning zone grows. */
internal class ReturnRampTest {
    @Test
    fun `a failure takes the ramp back one step and delays it, and simultaneous failures count as one`() {
        val ramp = ReturnRamp()
        ramp.begin(0)
        ramp.update(RecoveryTuning.RAMP_STEP_MS)
        ramp.update(2 * RecoveryTuning.RAMP_STEP_MS)
        assertEquals(RecoveryTuning.RAMP_SHARES[2], ramp.share)
        repeat(5) { ramp.onMachineFailed(2 * RecoveryTuning.RAMP_STEP_MS + it) }
        assertEquals(RecoveryTuning.RAMP_SHARES[1], ramp.share)
        ramp.update(3 * RecoveryTuning.RAMP_STEP_MS + 10)
        assertEquals(RecoveryTuning.RAMP_SHARES[1], ramp.share)
        ramp.update(2 * RecoveryTuning.RAMP_STEP_MS + RecoveryTuning.RAMP_STEP_AFTER_FAILURE_MS)
        assertEquals(RecoveryTuning.RAMP_SHARES[2], ramp.share)
    }
}
