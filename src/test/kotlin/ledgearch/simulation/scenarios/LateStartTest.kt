package ledgearch.simulation.scenarios

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Late copies of start commands that reach a machine after it has restarted without its state and before any controller
 * has heard of that. Nothing can make the worker refuse them: it has seen no token, and the incarnation is the same.
 * Starting is not executing yet, as the image has to be fetched first.
 */
internal class LateStartTest {
    /** Guards against a late start that executes, since the restarted worker's list is taken for a late duplicate. */
    @Test
    fun `a task that runs elsewhere or was cancelled is stopped on a restarted machine before it executes`() {
        val violations = Scenario(SCENARIO).play()
        val (starts, others) = violations.partition { " sent to host-000001 " in it }
        assertEquals(emptyList<String>(), others)
        assertTrue(starts.any { "job-2/0" in it } && starts.any { "job-3/0" in it }, "no late start was executed")
    }

    private companion object {
        /** As `machine-restarts-start-repeated`, but the copies arrive a few milliseconds after the restart. */
        val SCENARIO =
            """
            nodes 1
            machines a b
            capacity 2
            4 submit job-1 zone=b cpus=8 run=4
            5.5 submit job-2 priority=best_effort cpus=4 run=100
            5.5 submit job-3 priority=best_effort cpus=4 run=100 zone=a
            9 cancel job-3
            12 submit job-4 zone=a service=yes priority=prod cpus=8 team=blue
            15 expect running job-2 1
            15 expect running job-4 1
            15 expect job-3 cancelled
            16 cloud-down
            16.5 restart-machine host-000001
            16.505 repeat-commands host-000001
            18 expect running job-2 1
            18 expect running job-3 0
            25 expect running job-4 1
            60 expect running job-3 0
            130 expect job-2 done
            """.trimIndent()
    }
}
