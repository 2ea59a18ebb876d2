package ledgearch.loopback.soak

import ledgearch.tools.SoakCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** The soak of one seed on real processes, and the options of its command. */
internal class SoakTest {
    @TempDir
    lateinit var folder: Path

    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `no rule breaks and no job is left unanswered on real processes under overlapping faults`() {
        val plan = SoakPlan(SEED, ROUNDS)
        val problems = SoakRun(plan, SoakOptions(observedMs = OBSERVED_MS), folder).run()
        assertEquals(emptyList<String>(), problems, "plan of $plan")
    }

    @Test
    fun `a seed gives the same plan each time, and another seed another one`() {
        assertEquals(SoakPlan(SEED, ROUNDS).faults, SoakPlan(SEED, ROUNDS).faults)
        assertEquals(false, SoakPlan(SEED, ROUNDS).faults == SoakPlan(SEED + 1, ROUNDS).faults)
    }

    @Test
    fun `wrong seeds, ranges and worker counts are named in one line`() {
        val wrong =
            listOf(
                mapOf("seeds" to "x") to "seeds must be a number or a range such as 1-50, not 'x'",
                mapOf("seeds" to "9-3") to "seeds must be a number or a range such as 1-50, not '9-3'",
                mapOf("seeds" to "1-2-3") to "seeds must be a number or a range such as 1-50, not '1-2-3'",
                mapOf("seeds" to "1-5000") to "at most 1000 seeds at once, not '1-5000'",
                mapOf("workers" to "0") to "workers must be from 1 to 400, not '0'",
                mapOf("jobs" to "many") to "jobs must be from 1 to 16, not 'many'",
            )
        for ((properties, message) in wrong) {
            val failure = assertThrows(IllegalArgumentException::class.java) { SoakCommand.parse(properties) }
            assertEquals(message, failure.message)
        }
    }

    private companion object {
        const val SEED = 1L
        const val ROUNDS = 1
        const val TEST_TIMEOUT_S = 240L

        /** Somewhat longer than a job may be left without an answer. */
        const val OBSERVED_MS = 80_000L
    }
}
