package ledgearch.simulation.invariants

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** A planted stretch of failed questions is reported, once, and an interrupted one is not. */
internal class UnansweredJobsTest {
    private val violations = ArrayList<String>()
    private val unanswered = UnansweredJobs { rule, details -> violations.add("$rule: $details") }

    private fun ask(
        fromS: Int,
        toS: Int,
        isAnswered: Boolean,
    ) = (fromS..toS step ASK_INTERVAL_S).forEach { unanswered.record("job-1", isAnswered, it * MS_PER_S) }

    @Test
    fun `a job whose questions all fail for 75 s is reported once, however others fare`() {
        unanswered.watch(0)
        ask(0, 0, isAnswered = true)
        unanswered.record("job-2", isAnswered = true, MS_PER_S)
        ask(5, 200, isAnswered = false)
        assertEquals(listOf("forgotten: job-1: every question failed for 75000 ms"), violations)
    }

    @Test
    fun `a job that never had an answer since the faults ended is reported`() {
        unanswered.watch(0)
        ask(0, 75, isAnswered = false)
        assertEquals(1, violations.size)
    }

    @Test
    fun `one answer within 75 s is enough, and what failed before the end of the faults does not count`() {
        ask(0, 100, isAnswered = false)
        unanswered.watch(101 * MS_PER_S)
        ask(105, 170, isAnswered = false)
        ask(175, 175, isAnswered = true)
        ask(180, 245, isAnswered = false)
        assertEquals(emptyList<String>(), violations)
    }

    private companion object {
        const val ASK_INTERVAL_S = 5
        const val MS_PER_S = 1_000L
    }
}
