package ledgearch.scheduling

import ledgearch.config.Objective
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.records.JobRecord
import ledgearch.runtime.Clock
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.MachineType
import ledgearch.wire.Priority
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against a burst of lost spot machines being taken for a high loss rate, which would keep all work off them.
 */
internal class SpotReliabilityTest {
    private val clock = Clock()
    private val estimates = RunTimeEstimates()
    private val objectives = listOf(Objective("deadline", "c"))
    private val deadlines = Deadlines(objectives, estimates, clock) { emptyList() }
    private val reliability = SpotReliability(estimates, Ranking(objectives, estimates, clock, deadlines))
    private val teams = TeamQuotas(emptyList())
    private val spotMachines =
        List(300) { Machine("host-$it", "h:1", MachineType("r", 8.0, memoryGb = 16.0), "a", true, 0, teams) }
    private val job =
        Job(
            JobRecord(
                JobSpec(
                    "job-1",
                    "c",
                    "t",
                    JobKind.ARRAY,
                    Priority.URGENT,
                    taskCount = 40,
                    vcpus = 2.0,
                    memoryGb = 1.0,
                    image = "i",
                    imageGb = 1.0,
                    allowsSpot = true,
                    estimatedRunTimeS = 20.0,
                    deadlineS = 30.0,
                ),
                submittedAtMs = 0,
            ),
            1,
        )

    private fun shouldRunOnDemand(): Boolean {
        reliability.chooseOnDemandJobs(listOf(job), emptyList(), 0.0)
        return reliability.shouldRunOnDemand(job)
    }

    private fun observe(
        seconds: Int,
        lossesAt: (Int) -> Int,
    ) {
        for (second in 0..seconds) {
            repeat(lossesAt(second)) { reliability.recordLoss(spotMachines[it], second * 1000L) }
            reliability.addMachineHours(spotMachines, second * 1000L)
        }
    }

    @Test
    fun `a burst of hundreds of losses does not move a job to on-demand machines`() {
        observe(seconds = 60) { if (it == 30) 300 else 0 }
        assertFalse(shouldRunOnDemand())
    }

    @Test
    fun `as many losses spread over time move a job to on-demand machines`() {
        observe(seconds = 300) { 1 }
        assertTrue(shouldRunOnDemand())
    }
}
