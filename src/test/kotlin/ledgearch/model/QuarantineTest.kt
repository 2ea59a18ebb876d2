package ledgearch.model

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against trials that come too often on a faulty machine, or too rarely on one that was blamed wrongly. */
internal class QuarantineTest {
    private val quarantine = Quarantine(QuarantineCause.SEVERAL_JOBS, sinceMs = 0)

    private fun msUntilTrial(fromMs: Long): Long =
        generateSequence(fromMs) { it + 1 }.first(quarantine::mayTry) - fromMs

    @Test
    fun `the pause before a trial grows with each failed trial up to its maximum`() {
        val pausesMs = ArrayList<Long>()
        var nowMs = 0L
        repeat(5) {
            pausesMs.add(msUntilTrial(nowMs))
            nowMs += pausesMs.last()
            quarantine.recordFailedTrial(nowMs)
        }
        assertEquals(listOf(5_000L, 10_000L, 20_000L, 30_000L, 30_000L), pausesMs)
        assertEquals(nowMs, quarantine.lastEvidenceAtMs)
    }

    @Test
    fun `a machine that is faulty without doubt is tried more rarely`() {
        quarantine.markCertain(nowMs = 1_000)
        assertEquals(30_000, msUntilTrial(1_000))
        quarantine.recordFailedTrial(31_000)
        assertEquals(60_000, msUntilTrial(31_000))
    }
}
