package ledgearch.simulation.invariants

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Each fault that the audit is there for is fed to it once, and must be reported; what is in order must not be. */
internal class ExecutionAuditTest {
    private val found = ArrayList<String>()
    private val audit = ExecutionAudit(CANCEL_MS) { rule, what -> found.add("$rule: $what") }

    private fun rules() = found.map { it.substringBefore(':') }

    private fun task(
        taskId: String,
        attempt: Long = 1,
        worker: String = "host-1",
        executing: Boolean = true,
        reached: Boolean = true,
    ) = ObservedTask(taskId, attempt, worker, executing, reached)

    /** Inspects the same tasks again and again, for longer than workers need to hear of anything. */
    private fun inspectSettledForLong(vararg tasks: ObservedTask) {
        for (now in 0L..ExecutionAudit.SETTLING_MS + SAMPLE_MS step SAMPLE_MS) audit.inspectSettled(now, tasks.toList())
    }

    @Test
    fun `a chain that runs in order is no violation`() {
        audit.submitted("job-1", 2, emptyList())
        audit.submitted("job-2", 1, listOf("job-1"))
        audit.started("job-1/0", "host-1", 10)
        audit.inspect(20, listOf(task("job-1/0")))
        audit.completed("job-1/0")
        audit.completed("job-1/1")
        audit.started("job-2/0", "host-1", 30)
        audit.inspect(40, listOf(task("job-2/0")))
        audit.completed("job-2/0")
        audit.toldDone("job-2")
        inspectSettledForLong()
        assertEquals(emptyList<String>(), found)
    }

    @Test
    fun `a task that is on a worker after its user was told is reported`() {
        audit.submitted("job-1", 1, emptyList())
        audit.toldCancelled("job-1", 100)
        audit.inspect(101, listOf(task("job-1/0")))
        assertEquals(listOf("ran_cancelled"), rules())
    }

    @Test
    fun `a task that starts after its user was told is reported`() {
        audit.submitted("job-1", 1, emptyList())
        audit.toldCancelled("job-1", 100)
        audit.started("job-1/0", "host-1", 100)
        assertEquals(listOf("ran_cancelled"), rules())
    }

    @Test
    fun `a task that is on a worker though a job that its job needs is cancelled is reported`() {
        audit.submitted("job-1", 1, emptyList())
        audit.submitted("job-2", 1, listOf("job-1"))
        audit.submitted("job-3", 1, listOf("job-2"))
        audit.completed("job-1/0")
        audit.completed("job-2/0")
        audit.toldCancelled("job-1", 100)
        audit.inspect(101, listOf(task("job-3/0")))
        assertEquals(listOf("ran_cancelled"), rules())
    }

    @Test
    fun `a task that starts while one of two tasks that it needs is not complete is reported`() {
        audit.submitted("job-1", 2, emptyList())
        audit.submitted("job-2", 1, listOf("job-1"))
        audit.submitted("job-3", 1, listOf("job-2"))
        audit.completed("job-1/0")
        audit.completed("job-2/0")
        audit.started("job-3/0", "host-1", 10)
        assertEquals(listOf("too_early"), rules())
    }

    @Test
    fun `a task that is told complete twice counts once`() {
        audit.submitted("job-1", 2, emptyList())
        audit.submitted("job-2", 1, listOf("job-1"))
        audit.completed("job-1/0")
        audit.completed("job-1/0")
        audit.started("job-2/0", "host-1", 10)
        assertEquals(listOf("too_early"), rules())
    }

    @Test
    fun `a job that is called open for too long after a job that it needs was called cancelled is reported`() {
        audit.submitted("job-1", 1, emptyList())
        audit.submitted("job-2", 1, listOf("job-1"))
        audit.submitted("job-3", 1, listOf("job-2"))
        audit.toldCancelled("job-1", 100)
        audit.toldOpen("job-3", 100 + CANCEL_MS)
        assertEquals(emptyList<String>(), found)
        audit.toldOpen("job-3", 101 + CANCEL_MS)
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `two executing attempts of one task are reported`() {
        audit.submitted("job-1", 1, emptyList())
        audit.inspect(10, listOf(task("job-1/0"), task("job-1/0", attempt = 2, worker = "host-2")))
        assertEquals(listOf("ran_twice"), rules())
    }

    @Test
    fun `two attempts that stay on workers once failures are over are reported`() {
        audit.submitted("job-1", 1, emptyList())
        inspectSettledForLong(task("job-1/0"), task("job-1/0", attempt = 2, worker = "host-2", executing = false))
        assertEquals(listOf("orphaned", "orphaned"), rules())
    }

    @Test
    fun `a task that goes on though it has completed elsewhere is reported`() {
        audit.submitted("job-1", 2, emptyList())
        audit.completed("job-1/0")
        inspectSettledForLong(task("job-1/0", attempt = 2))
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `a task that goes on though its job was called done is reported`() {
        audit.submitted("job-1", 2, emptyList())
        audit.toldDone("job-1")
        inspectSettledForLong(task("job-1/0"))
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `an image fetch that goes on though its job was called cancelled is reported`() {
        audit.submitted("job-1", 1, emptyList())
        audit.toldCancelled("job-1", 0)
        inspectSettledForLong(task("job-1/0", executing = false))
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `a task that is unwanted for a moment only or on a worker that nothing reaches is no orphan`() {
        audit.submitted("job-1", 1, emptyList())
        audit.submitted("job-2", 1, emptyList())
        audit.completed("job-1/0")
        audit.completed("job-2/0")
        audit.inspectSettled(0, listOf(task("job-1/0")))
        audit.inspectSettled(SAMPLE_MS, emptyList())
        audit.inspectSettled(ExecutionAudit.SETTLING_MS + SAMPLE_MS, listOf(task("job-1/0")))
        inspectSettledForLong(task("job-2/0", reached = false))
        assertEquals(emptyList<String>(), found)
    }

    @Test
    fun `a task that no controller counts any more is reported`() {
        audit.submitted("job-1", 2, emptyList())
        audit.compareRunning("job-1", told = 1, executing = 2, now = 0)
        audit.compareRunning("job-1", told = 1, executing = 2, now = ExecutionAudit.SETTLING_MS + 1)
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `a task that is counted again is no orphan`() {
        audit.submitted("job-1", 2, emptyList())
        audit.compareRunning("job-1", told = 1, executing = 2, now = 0)
        audit.compareRunning("job-1", told = 2, executing = 2, now = SAMPLE_MS)
        audit.compareRunning("job-1", told = 1, executing = 2, now = ExecutionAudit.SETTLING_MS + 1)
        assertEquals(emptyList<String>(), found)
    }

    private companion object {
        const val CANCEL_MS = 39_000L
        const val SAMPLE_MS = 5_000L
    }
}
