package ledgearch.simulation.scenarios

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks with the real scheduler that defects planted in a worker or a stream are reported as violations. */
internal class PlantedDefectTest {
    private fun auditViolations(steps: String): List<String> {
        val text = "nodes 1\nmachines a*2 b*2\n$steps"
        return Scenario(text).play().filter { "audit: " in it }
    }

    private fun assertFound(
        rule: String,
        auditViolations: List<String>,
    ) = assertTrue(auditViolations.any { " $rule: " in it }, "$rule is not among $auditViolations")

    @Test
    fun `a task hidden by its worker is reported when it runs after its job was cancelled`() {
        val violations =
            auditViolations(
                """
                2 submit job-1 run=200
                10 plant-hidden job-1/0
                20 cancel job-1
                70 expect job-1 cancelled
                """.trimIndent(),
            )
        assertFound("ran_cancelled", violations)
    }

    @Test
    fun `a task hidden by its worker is reported as a duplicate and as an orphan once it was restarted`() {
        val violations =
            auditViolations(
                """
                2 submit job-1 service=yes priority=prod
                2 submit job-2 service=yes priority=prod team=blue tasks=10
                10 plant-hidden job-1/0
                20 audit-settled
                100 expect everyone-served
                """.trimIndent(),
            )
        assertFound("ran_twice", violations)
        assertFound("orphaned", violations)
    }

    @Test
    fun `a dependent that starts because a worker falsely reported a task as done is reported`() {
        val violations =
            auditViolations(
                """
                2 submit job-1 run=200
                3 submit job-2 depends-on=job-1 run=5
                10 plant-falsely-done job-1/0
                40 expect job-2 done
                """.trimIndent(),
            )
        assertFound("too_early", violations)
    }

    @Test
    fun `a replica that differs from its leader because its stream omitted a record is reported`() {
        assertTrue(violationsWithStream("stream planted 0.5 until 40").any { "the replica of term" in it })
    }

    @Test
    fun `a stream without a defect causes no violation`() {
        assertEquals(emptyList<String>(), violationsWithStream(""))
    }

    private fun violationsWithStream(fault: String): List<String> {
        val steps = if (fault.isEmpty()) "" else "10 $fault\n"
        val text =
            "nodes 3\nstandby n1 n2 n3\nmachines a*2 b*2\n" + steps +
                "12 submit job-1 tasks=6 run=20\n15 submit job-2 tasks=6 run=10\n50 expect job-1 done"
        return Scenario(text).play()
    }

    @Test
    fun `workers without a defect cause no violation`() {
        val violations =
            auditViolations(
                """
                2 submit job-1 run=20
                2 submit job-3 service=yes priority=prod
                3 submit job-2 depends-on=job-1 run=5
                20 audit-settled
                100 expect job-2 done
                """.trimIndent(),
            )
        assertTrue(violations.isEmpty(), violations.toString())
    }
}
