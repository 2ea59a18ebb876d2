package ledgearch.loopback

import ledgearch.simulation.parseJobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Real controller processes and machines that restart at once without their state. */
internal class MachineRestartTest {
    @TempDir
    lateinit var folder: Path

    /** Guards against a task that counts as lost and runs twice once the lease from before the restart has expired. */
    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `a task that starts after a restart during an outage of the cloud runs once`() =
        runCluster { cluster ->
            fillSecondMachine(cluster)
            submit(cluster, "job-2", "cpus=4", "run=600")
            awaitRunning(cluster, "job-2")
            restartFirstMachine(cluster) { cluster.simulation.cloud.isDown = true }
            submit(cluster, "job-3", "cpus=4", "run=600")
            awaitRunning(cluster, "job-2")
            awaitRunning(cluster, "job-3")
            Thread.sleep(LoopbackSimulation.WORKER_LEASE_MS + MARGIN_MS)
            assertEquals(1, cluster.simulation.call { cluster.simulation.invariants.startCount("job-3") })
        }

    /** Guards against copies of heartbeats from before a restart that replace the present list of tasks. */
    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `a late heartbeat from before a restart changes nothing`() =
        runCluster { cluster ->
            val simulation = cluster.simulation
            simulation.call { simulation.heartbeats.keep(FIRST_MACHINE) }
            submit(cluster, "job-2", "cpus=4", "run=600", "zone=a")
            awaitRunning(cluster, "job-2")
            Thread.sleep(MARGIN_MS)
            val leader = checkNotNull(cluster.leader())
            leader.kill()
            restartFirstMachine(cluster) { }
            cluster.await("another leader", STEP_TIMEOUT_MS) { cluster.leader().let { it != null && it !== leader } }
            leader.start()
            awaitRunning(cluster, "job-2")
            cluster.await("${leader.name} joins", STEP_TIMEOUT_MS) { cluster.isReady(leader.name) }
            simulation.call { simulation.heartbeats.deliverKept(FIRST_MACHINE) }
            Thread.sleep(MARGIN_MS)
            assertEquals(2, simulation.call { simulation.invariants.startCount("job-2") })
            assertEquals(1, simulation.call { simulation.runningTaskCount("job-2") })
        }

    private fun runCluster(test: (LoopbackCluster) -> Unit) =
        LoopbackCluster(folder, MACHINES).use { cluster ->
            cluster.start()
            cluster.await("all machines confirmed", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
            test(cluster)
            assertEquals(
                emptyList<String>(),
                cluster.simulation.call {
                    cluster.simulation.invariants.violations
                        .toList()
                },
            )
        }

    private fun fillSecondMachine(cluster: LoopbackCluster) {
        submit(cluster, "job-1", "cpus=8", "run=12", "zone=b")
        awaitRunning(cluster, "job-1")
    }

    private fun restartFirstMachine(
        cluster: LoopbackCluster,
        prepare: () -> Unit,
    ) = cluster.simulation.call {
        prepare()
        cluster.simulation.workers
            .getValue(FIRST_MACHINE)
            .restart()
    }

    private fun submit(
        cluster: LoopbackCluster,
        vararg job: String,
    ) = cluster.simulation.call { cluster.simulation.users.submit(parseJobSpec(job.toList()), null) }

    private fun awaitRunning(
        cluster: LoopbackCluster,
        job: String,
    ) = cluster.await("$job runs", STEP_TIMEOUT_MS) {
        cluster.simulation.call { cluster.simulation.runningTaskCount(job) } == 1
    }

    private companion object {
        const val FIRST_MACHINE = "host-000001"
        const val MACHINES = 2
        const val STEP_TIMEOUT_MS = 30_000L
        const val MARGIN_MS = 4_000L
        const val TEST_TIMEOUT_S = 150L
    }
}
