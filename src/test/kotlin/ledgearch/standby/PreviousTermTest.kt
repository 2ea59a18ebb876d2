package ledgearch.standby

import ledgearch.records.LeadershipRecord
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests which terms can be that of the previous leader. */
internal class PreviousTermTest {
    @Test
    fun `a term can be the previous one from its beginning, also after renewals, but not before`() {
        val previousTerm = PreviousTerm("n1")
        previousTerm.onLeadershipChanged(LeadershipRecord("n2", instance = 1), 10)
        assertTrue(previousTerm.onLeadershipChanged(LeadershipRecord("n3", instance = 1), 20))
        assertFalse(previousTerm.onLeadershipChanged(LeadershipRecord("n3", instance = 1, renewedToken = 20), 30))
        assertFalse(previousTerm.onLeadershipChanged(null, 0))
        assertFalse(previousTerm.onLeadershipChanged(LeadershipRecord("n1", instance = 1), 40))
        assertFalse(previousTerm.mayBe(10))
        assertTrue(previousTerm.mayBe(20))
        assertTrue(previousTerm.onLeadershipChanged(LeadershipRecord("n3", instance = 1), 50))
        assertFalse(previousTerm.mayBe(20))
        assertTrue(previousTerm.mayBe(50))
    }
}
