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

/** What lost spot machines mean for the jobs that come after. */
internal class ReliabilityTest {
    private val clock = Clock()
    private val estimates = Estimates()
    private val objectives = listOf(Objective("deadline", "c"))
    private val deadlines = Deadlines(objectives, estimates, clock) { emptyList() }
    private val reliability = Reliability(estimates, Ranking(objectives, estimates, clock, deadlines))
    private val teams = TeamQuotas(emptyList())
    private val spot =
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
                    estimatedRunS = 20.0,
                    deadlineS = 30.0,
                ),
                submittedAtMs = 0,
            ),
            1,
        )

    private fun isExposed(): Boolean {
        reliability.chooseOnDemandJobs(listOf(job), emptyList(), 0.0)
        return reliability.wantsOnDemand(job)
    }

    private fun hold(
        seconds: Int,
        losses: (Int) -> Int,
    ) {
        for (second in 0..seconds) {
            repeat(losses(second)) { reliability.lost(spot[it], second * 1000L) }
            reliability.count(spot, second * 1000L)
        }
    }

    @Test
    fun `hundreds lost at once are no rate of loss`() {
        hold(seconds = 60) { if (it == 30) 300 else 0 }
        assertFalse(isExposed())
    }

    @Test
    fun `as many lost one after the other are a rate of loss`() {
        hold(seconds = 300) { 1 }
        assertTrue(isExposed())
    }
}
