package ledgearch.standby

import ledgearch.records.LeadershipRecord
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which terms may be those of the leader that was replaced. */
internal class PreviousTermTest {
    @Test
    fun `a term is of the leader that was replaced, through its renewals and not before`() {
        val replaced = PreviousTerm("n1")
        replaced.changed(LeadershipRecord("n2", instance = 1), 10)
        assertTrue(replaced.changed(LeadershipRecord("n3", instance = 1), 20))
        assertFalse(replaced.changed(LeadershipRecord("n3", instance = 1, renewedToken = 20), 30))
        assertFalse(replaced.changed(null, 0))
        assertFalse(replaced.changed(LeadershipRecord("n1", instance = 1), 40))
        assertFalse(replaced.mayBe(10))
        assertTrue(replaced.mayBe(20))
        assertTrue(replaced.changed(LeadershipRecord("n3", instance = 1), 50))
        assertFalse(replaced.mayBe(20))
        assertTrue(replaced.mayBe(50))
    }
}
