package ledgearch.simulation.scenarios

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Defects planted in a worker or a stream violate an invariant with the real scheduler; the audit must notice. */
internal class PlantedDefectTest {
    private fun findings(steps: String): List<String> {
        val text = "nodes 1\nmachines a*2 b*2\n$steps"
        return Scenario(text).play().filter { "audit: " in it }
    }

    private fun assertFound(
        rule: String,
        findings: List<String>,
    ) = assertTrue(findings.any { " $rule: " in it }, "$rule is not among $findings")

    @Test
    fun `a task that a worker hides goes on after its job was called cancelled`() {
        val found =
            findings(
                """
                2 submit job-1 run=200
                10 plant-hidden job-1/0
                20 cancel job-1
                70 expect job-1 cancelled
                """.trimIndent(),
            )
        assertFound("ran_cancelled", found)
    }

    @Test
    fun `a replica that a worker hides is known to nobody once it was started anew`() {
        val found =
            findings(
                """
                2 submit job-1 service=yes priority=prod
                2 submit job-2 service=yes priority=prod team=blue tasks=10
                10 plant-hidden job-1/0
                20 audit-settled
                100 expect everyone-served
                """.trimIndent(),
            )
        assertFound("ran_twice", found)
        assertFound("orphaned", found)
    }

    @Test
    fun `a task that a worker falsely reports as done lets a dependent start too early`() {
        val found =
            findings(
                """
                2 submit job-1 run=200
                3 submit job-2 depends-on=job-1 run=5
                10 plant-falsely-done job-1/0
                40 expect job-2 done
                """.trimIndent(),
            )
        assertFound("too_early", found)
    }

    @Test
    fun `a stream that leaves out a record makes a replica that differs from its leader`() {
        assertTrue(streamed("stream planted 0.5 until 40").any { "the replica of term" in it })
    }

    @Test
    fun `a stream without a defect makes replicas that equal their leader`() {
        assertEquals(emptyList<String>(), streamed(""))
    }

    private fun streamed(fault: String): List<String> {
        val steps = if (fault.isEmpty()) "" else "10 $fault\n"
        val text =
            "nodes 3\nstandby n1 n2 n3\nmachines a*2 b*2\n" + steps +
                "12 submit job-1 tasks=6 run=20\n15 submit job-2 tasks=6 run=10\n50 expect job-1 done"
        return Scenario(text).play()
    }

    @Test
    fun `without a defect nothing is found`() {
        val found =
            findings(
                """
                2 submit job-1 run=20
                2 submit job-3 service=yes priority=prod
                3 submit job-2 depends-on=job-1 run=5
                20 audit-settled
                100 expect job-2 done
                """.trimIndent(),
            )
        assertTrue(found.isEmpty(), found.toString())
    }
}
