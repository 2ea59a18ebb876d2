package ledgearch.recovery

import ledgearch.config.RecoveryGroup
import ledgearch.model.Job
import ledgearch.records.JobRecord
import ledgearch.simulation.parseJobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Tests the operators' order in which displaced jobs are placed again. */
internal class RecoveryOrderTest {
    private fun job(
        id: String,
        options: String,
    ) = Job(JobRecord(parseJobSpec(listOf(id) + options.split(' ')), 0), 1)

    @Test
    fun `jobs belong to the first group that they match, others to the default group`() {
        val order =
            RecoveryOrder(
                listOf(
                    RecoveryGroup(classes = listOf("lobby")),
                    RecoveryGroup(name = "rest", default = true),
                    RecoveryGroup(classes = listOf("night-*"), teams = listOf("red")),
                ),
            )
        assertEquals(0, order.groupOf(job("job-1", "class=lobby")))
        assertEquals(1, order.groupOf(job("job-2", "class=night-run team=blue")))
        assertEquals(2, order.groupOf(job("job-3", "class=night-run team=red")))
        assertEquals(listOf("group 1", "rest", "group 3"), order.groupNames)
    }

    @Test
    fun `displaced jobs are reordered only among their own positions`() {
        val order = RecoveryOrder(listOf(RecoveryGroup(classes = listOf("slips")), RecoveryGroup(default = true)))
        val web = job("job-1", "class=web")
        val other = job("job-2", "class=other")
        val slips = job("job-3", "class=slips")
        val reordered = order.reorder(listOf(listOf(web, other), listOf(slips))) { it !== other }
        assertEquals(listOf(listOf(slips, other), listOf(web)), reordered)
    }
}
