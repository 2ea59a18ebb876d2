package ledgearch.simulation.invariants

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Checks that the audit reports each violation that it covers, and nothing else. */
internal class ExecutionAuditTest {
    private val violations = ArrayList<String>()
    private val audit = ExecutionAudit(CANCEL_MS) { rule, details -> violations.add("$rule: $details") }

    private fun rules() = violations.map { it.substringBefore(':') }

    private fun task(
        taskId: String,
        attempt: Long = 1,
        worker: String = "host-1",
        isExecuting: Boolean = true,
        isReachable: Boolean = true,
    ) = ObservedTask(taskId, attempt, worker, isExecuting, isReachable)

    /** Inspects the same tasks for longer than an unwanted task may stay. */
    private fun inspectSettledLongEnough(vararg tasks: ObservedTask) {
        for (nowMs in 0L..ExecutionAudit.SETTLING_MS + SAMPLE_MS step SAMPLE_MS) {
            audit.inspectSettled(nowMs, tasks.toList())
        }
    }

    @Test
    fun `a chain that runs in order is not reported`() {
        audit.recordSubmission("job-1", 2, emptyList())
        audit.recordSubmission("job-2", 1, listOf("job-1"))
        audit.checkStart("job-1/0", "host-1", 10)
        audit.inspect(20, listOf(task("job-1/0")))
        audit.recordCompletion("job-1/0")
        audit.recordCompletion("job-1/1")
        audit.checkStart("job-2/0", "host-1", 30)
        audit.inspect(40, listOf(task("job-2/0")))
        audit.recordCompletion("job-2/0")
        audit.recordDoneReply("job-2")
        inspectSettledLongEnough()
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `a task on a worker after its job was reported as cancelled is reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        audit.recordCancelledReply("job-1", 100)
        audit.inspect(101, listOf(task("job-1/0")))
        assertEquals(listOf("ran_cancelled"), rules())
    }

    @Test
    fun `a task that starts after its job was reported as cancelled is reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        audit.recordCancelledReply("job-1", 100)
        audit.checkStart("job-1/0", "host-1", 100)
        assertEquals(listOf("ran_cancelled"), rules())
    }

    @Test
    fun `a task on a worker with a cancelled dependency is reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        audit.recordSubmission("job-2", 1, listOf("job-1"))
        audit.recordSubmission("job-3", 1, listOf("job-2"))
        audit.recordCompletion("job-1/0")
        audit.recordCompletion("job-2/0")
        audit.recordCancelledReply("job-1", 100)
        audit.inspect(101, listOf(task("job-3/0")))
        assertEquals(listOf("ran_cancelled"), rules())
    }

    @Test
    fun `a task that starts while one of two tasks of a dependency has not completed is reported`() {
        audit.recordSubmission("job-1", 2, emptyList())
        audit.recordSubmission("job-2", 1, listOf("job-1"))
        audit.recordSubmission("job-3", 1, listOf("job-2"))
        audit.recordCompletion("job-1/0")
        audit.recordCompletion("job-2/0")
        audit.checkStart("job-3/0", "host-1", 10)
        assertEquals(listOf("too_early"), rules())
    }

    @Test
    fun `a completion recorded twice counts once`() {
        audit.recordSubmission("job-1", 2, emptyList())
        audit.recordSubmission("job-2", 1, listOf("job-1"))
        audit.recordCompletion("job-1/0")
        audit.recordCompletion("job-1/0")
        audit.checkStart("job-2/0", "host-1", 10)
        assertEquals(listOf("too_early"), rules())
    }

    @Test
    fun `a job reported as open too long after a dependency was reported as cancelled is reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        audit.recordSubmission("job-2", 1, listOf("job-1"))
        audit.recordSubmission("job-3", 1, listOf("job-2"))
        audit.recordCancelledReply("job-1", 100)
        audit.checkOpenReply("job-3", 100 + CANCEL_MS)
        assertEquals(emptyList<String>(), violations)
        audit.checkOpenReply("job-3", 101 + CANCEL_MS)
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `two executing attempts of one task are reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        audit.inspect(10, listOf(task("job-1/0"), task("job-1/0", attempt = 2, worker = "host-2")))
        assertEquals(listOf("ran_twice"), rules())
    }

    @Test
    fun `two attempts that stay on workers once no fault is left are reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        inspectSettledLongEnough(task("job-1/0"), task("job-1/0", attempt = 2, worker = "host-2", isExecuting = false))
        assertEquals(listOf("orphaned", "orphaned"), rules())
    }

    @Test
    fun `a task that runs on after it completed elsewhere is reported`() {
        audit.recordSubmission("job-1", 2, emptyList())
        audit.recordCompletion("job-1/0")
        inspectSettledLongEnough(task("job-1/0", attempt = 2))
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `a task that runs on after its job was reported as done is reported`() {
        audit.recordSubmission("job-1", 2, emptyList())
        audit.recordDoneReply("job-1")
        inspectSettledLongEnough(task("job-1/0"))
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `an image fetch that continues after its job was reported as cancelled is reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        audit.recordCancelledReply("job-1", 0)
        inspectSettledLongEnough(task("job-1/0", isExecuting = false))
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `a task unwanted only briefly or on an unreachable worker is not reported`() {
        audit.recordSubmission("job-1", 1, emptyList())
        audit.recordSubmission("job-2", 1, emptyList())
        audit.recordCompletion("job-1/0")
        audit.recordCompletion("job-2/0")
        audit.inspectSettled(0, listOf(task("job-1/0")))
        audit.inspectSettled(SAMPLE_MS, emptyList())
        audit.inspectSettled(ExecutionAudit.SETTLING_MS + SAMPLE_MS, listOf(task("job-1/0")))
        inspectSettledLongEnough(task("job-2/0", isReachable = false))
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `a task that no controller counts is reported`() {
        audit.recordSubmission("job-1", 2, emptyList())
        audit.compareRunning("job-1", reportedRunning = 1, executing = 2, nowMs = 0)
        audit.compareRunning("job-1", reportedRunning = 1, executing = 2, nowMs = ExecutionAudit.SETTLING_MS + 1)
        assertEquals(listOf("orphaned"), rules())
    }

    @Test
    fun `a task that is counted again is not reported`() {
        audit.recordSubmission("job-1", 2, emptyList())
        audit.compareRunning("job-1", reportedRunning = 1, executing = 2, nowMs = 0)
        audit.compareRunning("job-1", reportedRunning = 2, executing = 2, nowMs = SAMPLE_MS)
        audit.compareRunning("job-1", reportedRunning = 1, executing = 2, nowMs = ExecutionAudit.SETTLING_MS + 1)
        assertEquals(emptyList<String>(), violations)
    }

    private companion object {
        const val CANCEL_MS = 39_000L
        const val SAMPLE_MS = 5_000L
    }
}
