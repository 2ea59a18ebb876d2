package ledgearch.control

import com.sun.management.ThreadMXBean
import ledgearch.http.Request
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.simulation.jobSpecOf
import ledgearch.simulation.leader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.lang.management.ManagementFactory

/**
 * A heartbeat that changes nothing costs the leader the same however many machines there are. Counted in bytes
 * allocated, which repeat: a step that goes over all machines makes lists or iterators of them.
 */
internal class HeartbeatCostTest {
    @Test
    fun `a heartbeat costs no more with many times as many machines`() {
        val few = bytesAHeartbeat(FEW)
        val many = bytesAHeartbeat(MANY)
        assertTrue(many < few * SLACK, "$few bytes a heartbeat with $FEW machines, $many with $MANY")
    }

    private fun bytesAHeartbeat(machines: Int): Long {
        val simulation = Simulation(SimulationOptions(nodeCount = 1, seed = 1, teamMax = machines * CPUS_A_MACHINE))
        simulation.cloud.capacity = machines
        repeat(machines) { simulation.cloud.add("a", spot = false) }
        simulation.nodes.forEach { it.start() }
        simulation.clock.after(SUBMIT_MS) {
            val words = "job-1 service=yes priority=prod cpus=5 tasks=$machines"
            simulation.users.submit(jobSpecOf(words.split(' ')), null)
        }
        simulation.clock.runUntil(QUIET_MS)
        val leader = simulation.nodes.single { it.name == leader(simulation) }
        val worker = simulation.workers.values.first()
        var answered = 0
        repeat(HEARTBEATS) { heartbeatOf(worker) { body -> leader.run(serve(body) { answered++ }) } }
        val before = allocated()
        repeat(HEARTBEATS) { heartbeatOf(worker) { body -> leader.run(serve(body) { answered++ }) } }
        val bytes = allocated() - before
        assertEquals(2 * HEARTBEATS, answered)
        return bytes / HEARTBEATS
    }

    private fun heartbeatOf(
        worker: FakeWorker,
        send: (String) -> Unit,
    ) = worker.handle("GET", "/show", null) { send(it.body) }

    private fun serve(
        body: String,
        done: () -> Unit,
    ) = OwnerCommand.Serve(Request("POST", "/checkin", body, true)) {
        assertEquals(OK, it.status)
        done()
    }

    private fun allocated(): Long =
        (ManagementFactory.getThreadMXBean() as ThreadMXBean).getThreadAllocatedBytes(Thread.currentThread().id)

    private companion object {
        const val FEW = 50
        const val MANY = 1_500
        const val SLACK = 1.3
        const val HEARTBEATS = 300
        const val CPUS_A_MACHINE = 8.0
        const val SUBMIT_MS = 3_000L
        const val QUIET_MS = 14_000L
        const val OK = 200
    }
}
