package ledgearch.recovery

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests when repeated losses suppress a zone. */
internal class FlapPenaltyTest {
    @Test
    fun `a second loss suppresses a zone only soon after the first`() {
        val penalty = FlapPenalty()
        penalty.addLoss(0)
        assertFalse(penalty.isSuppressed)
        penalty.addLoss(10_000)
        assertTrue(penalty.isSuppressed)
        val lateSecondLoss = FlapPenalty()
        lateSecondLoss.addLoss(0)
        lateSecondLoss.addLoss(60_000)
        assertFalse(lateSecondLoss.isSuppressed)
    }
}
