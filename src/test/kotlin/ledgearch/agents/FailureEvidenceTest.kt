package ledgearch.agents

import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.ModelTuning
import ledgearch.model.Quarantine
import ledgearch.model.QuarantineCause
import ledgearch.model.TeamQuotas
import ledgearch.records.JobRecord
import ledgearch.runtime.Clock
import ledgearch.simulation.parseJobSpec
import ledgearch.wire.MachineType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against blaming machines for jobs that fail everywhere, and against overlooking faulty machines. */
internal class FailureEvidenceTest {
    private val clock = Clock()
    private val machines = LinkedHashMap<String, Machine>()
    private val evidence = FailureEvidence(machines, clock)

    private fun addMachines(count: Int): List<Machine> {
        val type = MachineType("r", 8.0, memoryGb = 16.0)
        val added = List(count) { Machine("host-$it", "h:1", type, "a", false, 0, TeamQuotas(emptyList())) }
        added.forEach { it.confirm() }
        return added.onEach { machines[it.name] = it }
    }

    private fun job(id: String) = Job(JobRecord(parseJobSpec(listOf(id, "tasks=4")), submittedAtMs = 0), 1)

    private fun fail(
        job: Job,
        index: Int,
        machine: Machine,
    ) {
        machine.failures.add(job, index, clock.steadyMs)
        job.failures.add(index, machine.name, clock.steadyMs)
    }

    @Test
    fun `a machine on which two jobs fail is faulty, one on which a single job fails is not`() {
        val (first, second) = addMachines(4)
        val (one, other) = listOf(job("job-1"), job("job-2"))
        fail(one, 0, first)
        fail(other, 0, first)
        fail(one, 1, second)
        assertEquals(QuarantineCause.SEVERAL_JOBS, evidence.causeForQuarantine(first))
        assertNull(evidence.causeForQuarantine(second))
    }

    @Test
    fun `jobs that fail on three machines are no evidence against any of them`() {
        val three = addMachines(4).take(3)
        val jobs = listOf(job("job-1"), job("job-2"))
        jobs.forEach { job -> three.forEach { fail(job, 0, it) } }
        three.forEach { assertNull(evidence.causeForQuarantine(it)) }
        jobs.forEach { assertTrue(evidence.shouldDelay(it)) }
    }

    @Test
    fun `two machines are enough to blame a job if no other could run it, one is not`() {
        val (first, second) = addMachines(2)
        val job = job("job-1")
        fail(job, 0, first)
        fail(job, 1, first)
        assertFalse(evidence.shouldDelay(job))
        fail(job, 0, second)
        assertTrue(evidence.shouldDelay(job))
    }

    @Test
    fun `failures of a job that completes elsewhere count however many machines they were on`() {
        val three = addMachines(4).take(3)
        val job = job("job-1")
        three.forEachIndexed { index, machine ->
            repeat(2) { fail(job, index, machine) }
        }
        three.forEach { assertNull(evidence.causeForQuarantine(it)) }
        job.markFinished(3)
        three.forEach { assertEquals(QuarantineCause.COMPLETES_ELSEWHERE, evidence.causeForQuarantine(it)) }
    }

    @Test
    fun `a task that fails on three machines is no evidence even if its job completes others`() {
        val three = addMachines(4).take(3)
        val job = job("job-1")
        job.markFinished(3)
        three.forEach { machine -> repeat(2) { fail(job, 0, machine) } }
        three.forEach { assertNull(evidence.causeForQuarantine(it)) }
    }

    @Test
    fun `failures expire`() {
        val machine = addMachines(4).first()
        fail(job("job-1"), 0, machine)
        clock.steadyMs = AgentTuning.FAILURE_EVIDENCE_TTL_MS + 1
        fail(job("job-2"), 0, machine)
        assertNull(evidence.causeForQuarantine(machine))
    }

    @Test
    fun `machines that are proven faulty do not count against a job`() {
        val three = addMachines(6).take(3)
        val job = job("job-1")
        three.forEach { fail(job, 0, it) }
        assertTrue(evidence.shouldDelay(job))
        three.first().quarantine = Quarantine(QuarantineCause.COMPLETES_ELSEWHERE, sinceMs = 0)
        assertFalse(evidence.shouldDelay(job))
    }

    @Test
    fun `only one task at a time is started of a job that fails everywhere, until one completes`() {
        val job = job("job-1")
        fail(job, 1, addMachines(4).first())
        job.failures.failsEverywhere = true
        assertEquals(1, job.startableCount(clock.steadyMs))
        job.markFinished(0)
        assertEquals(3, job.startableCount(clock.steadyMs))
    }

    @Test
    fun `a job that could not be tried for a while is no longer held back`() {
        val job = job("job-1")
        fail(job, 0, addMachines(4).first())
        job.failures.failsEverywhere = true
        clock.steadyMs = ModelTuning.JOB_SUSPICION_MS - 1
        assertTrue(job.isSuspect(clock.steadyMs))
        clock.steadyMs++
        assertFalse(job.isSuspect(clock.steadyMs))
        assertEquals(4, job.startableCount(clock.steadyMs))
    }

    @Test
    fun `only a task that was started after a failure removes the failure`() {
        val machine = addMachines(4).first()
        clock.steadyMs = 1_000
        fail(job("job-1"), 0, machine)
        machine.failures.removeBefore(1_000)
        assertFalse(machine.failures.isEmpty)
        machine.failures.removeBefore(1_001)
        assertTrue(machine.failures.isEmpty)
    }
}
