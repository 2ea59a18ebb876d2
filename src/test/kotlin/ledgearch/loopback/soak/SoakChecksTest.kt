package ledgearch.loopback.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Planted defects are found by the checks at the end of a soak run. */
internal class SoakChecksTest {
    @Test
    fun `a run in which less than half of the arrays are done fails`() {
        assertEquals(listOf("served: only 4 of 9 arrays are done"), SoakChecks.unserved(9, 4))
        assertEquals(emptyList<String>(), SoakChecks.unserved(9, 5))
        assertEquals(emptyList<String>(), SoakChecks.unserved(8, 4))
    }

    @Test
    fun `a run in which a controller ended by itself fails`() {
        assertEquals(listOf("n2 ended by itself"), SoakChecks.endedByThemselves(mapOf("n1" to true, "n2" to false)))
        assertEquals(emptyList<String>(), SoakChecks.endedByThemselves(mapOf("n1" to true)))
    }

    @Test
    fun `a run in which a controller logged a defect fails`() {
        val lines =
            listOf(
                "INFO leader changed; node=n1 token=1",
                "ERROR a step of the owner failed; the remaining steps still run",
                "ERROR requests to the state service are passed over; lane=READ count=1",
            )
        assertEquals(lines.drop(1).map { "n1 logged: $it" }, SoakChecks.loggedDefects("n1", lines))
    }
}
