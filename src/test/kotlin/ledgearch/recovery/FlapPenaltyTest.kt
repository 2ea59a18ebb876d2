package ledgearch.recovery

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** When repeated losses hold a zone back. */
internal class FlapPenaltyTest {
    @Test
    fun `one loss does not hold a zone back, a second one soon after it does, a late one does not`() {
        val penalty = FlapPenalty()
        penalty.lost(0)
        assertFalse(penalty.isSuppressed)
        penalty.lost(10_000)
        assertTrue(penalty.isSuppressed)
        val calm = FlapPenalty()
        calm.lost(0)
        calm.lost(60_000)
        assertFalse(calm.isSuppressed)
    }
}
