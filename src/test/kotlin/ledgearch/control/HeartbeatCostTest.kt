package ledgearch.control

import com.sun.management.ThreadMXBean
import ledgearch.http.Request
import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.simulation.leaderName
import ledgearch.simulation.parseJobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.lang.management.ManagementFactory

/**
 * The leader's cost of a heartbeat that changes nothing must not grow with the number of machines. It is measured in
 * allocated bytes, which are reproducible: a step that visits all machines allocates lists or iterators.
 */
internal class HeartbeatCostTest {
    @Test
    fun `the cost of a heartbeat does not grow with the number of machines`() {
        val bytesWithFew = bytesPerHeartbeat(FEW_MACHINES)
        val bytesWithMany = bytesPerHeartbeat(MANY_MACHINES)
        assertTrue(
            bytesWithMany < bytesWithFew * MAX_COST_RATIO,
            "$bytesWithFew bytes per heartbeat with $FEW_MACHINES machines, $bytesWithMany with $MANY_MACHINES",
        )
    }

    private fun bytesPerHeartbeat(machines: Int): Long {
        val simulation =
            Simulation(SimulationOptions(nodeCount = 1, seed = 1, teamMaxVcpus = machines * CPUS_PER_MACHINE))
        simulation.cloud.capacity = machines
        repeat(machines) { simulation.cloud.add("a", spot = false) }
        simulation.nodes.forEach { it.start() }
        simulation.clock.after(SUBMITTED_AT_MS) {
            val specFields = "job-1 service=yes priority=prod cpus=5 tasks=$machines"
            simulation.users.submit(parseJobSpec(specFields.split(' ')), null)
        }
        simulation.clock.runUntil(SETTLED_AT_MS)
        val leader = simulation.nodes.single { it.name == leaderName(simulation) }
        val worker = simulation.workers.values.first()
        var replyCount = 0
        repeat(HEARTBEATS) {
            sendHeartbeatOf(worker) { body -> leader.handle(heartbeatCommand(body) { replyCount++ }) }
        }
        val bytesBefore = allocatedBytes()
        repeat(HEARTBEATS) {
            sendHeartbeatOf(worker) { body -> leader.handle(heartbeatCommand(body) { replyCount++ }) }
        }
        val bytes = allocatedBytes() - bytesBefore
        assertEquals(2 * HEARTBEATS, replyCount)
        return bytes / HEARTBEATS
    }

    private fun sendHeartbeatOf(
        worker: FakeWorker,
        send: (String) -> Unit,
    ) = worker.handle("GET", "/show", null) { send(it.body) }

    private fun heartbeatCommand(
        body: String,
        onReply: () -> Unit,
    ) = OwnerCommand.ServeRequest(Request("POST", "/checkin", body, true)) {
        assertEquals(HTTP_OK, it.status)
        onReply()
    }

    private fun allocatedBytes(): Long =
        (ManagementFactory.getThreadMXBean() as ThreadMXBean).getThreadAllocatedBytes(Thread.currentThread().id)

    private companion object {
        const val FEW_MACHINES = 50
        const val MANY_MACHINES = 1_500
        const val MAX_COST_RATIO = 1.3
        const val HEARTBEATS = 300
        const val CPUS_PER_MACHINE = 8.0
        const val SUBMITTED_AT_MS = 3_000L
        const val SETTLED_AT_MS = 14_000L
        const val HTTP_OK = 200
    }
}
