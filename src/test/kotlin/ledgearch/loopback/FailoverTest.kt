package ledgearch.loopback

import ledgearch.client.ControllerStatus
import ledgearch.client.StatusText
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/**
 * Three real controller processes on loopback lose their leader. Checks order and safety, not speed: the time limits
 * only bound the run on a busy machine.
 */
internal class FailoverTest {
    @TempDir
    lateinit var folder: Path

    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `the leader is killed and restarted`() =
        LoopbackCluster(folder, MACHINES).use { cluster ->
            val workload = startWithServices(cluster)
            val killed = checkNotNull(cluster.leader())
            workload.submitArrays(ARRAYS)
            cluster.await("arrays run", STEP_TIMEOUT_MS) { workload.runningArrayTaskCount() > 0 }

            val observer = cluster.simulation.call { FailoverObserver(cluster.simulation) }
            killed.kill()
            workload.submitArrays(ARRAYS)
            cluster.await("failover", STEP_TIMEOUT_MS) { cluster.simulation.call { observer.times.isComplete } }
            checkOrder(observer.times)

            killed.start()
            cluster.await("${killed.name} joins", STEP_TIMEOUT_MS) { cluster.isReady(killed.name) }
            workload.submitArrays(ARRAYS, killed.name)
            checkAllDoneOnce(cluster, workload)
        }

    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `with warm standby the leader is killed and a follower takes over with its replica`() =
        LoopbackCluster(folder, MACHINES, STANDBY_SETTINGS).use { cluster ->
            val workload = startWithServices(cluster)
            val killed = checkNotNull(cluster.leader())
            workload.submitArrays(ARRAYS)
            cluster.await("arrays run", STEP_TIMEOUT_MS) { workload.runningArrayTaskCount() > 0 }
            val follower = cluster.controllers.keys.first { it != killed.name }
            cluster.await("$follower holds a replica", STEP_TIMEOUT_MS) { replicaRecordCount(cluster, follower) > 0 }
            checkStatus(cluster)

            val observer = cluster.simulation.call { FailoverObserver(cluster.simulation) }
            killed.kill()
            workload.submitArrays(ARRAYS)
            cluster.await("failover", STEP_TIMEOUT_MS) { cluster.simulation.call { observer.times.isComplete } }
            checkOrder(observer.times)
            assertTrue(cluster.logOf(checkNotNull(cluster.leader()).name).any { WARM_FAILOVER.containsMatchIn(it) })

            killed.start()
            cluster.await("${killed.name} joins", STEP_TIMEOUT_MS) { cluster.isReady(killed.name) }
            checkAllDoneOnce(cluster, workload)
        }

    /** Returns how many records the replica of [name] holds according to its metrics; 0 if it is incomplete. */
    private fun replicaRecordCount(
        cluster: LoopbackCluster,
        name: String,
    ): Int {
        val status = cluster.status(name) as? ControllerStatus.Available ?: return 0
        val standby = status.report.standby ?: return 0
        return if (standby.msBehind >= 0) standby.recordsHeld else 0
    }

    /** Checks that the `status` command prints one leader, and the lag of each follower. */
    private fun checkStatus(cluster: LoopbackCluster) {
        val lines = cluster.controllers.keys.flatMap { StatusText.of(it, cluster.status(it)) }
        assertEquals(1, lines.count { "leads under token" in it }, lines.toString())
        assertEquals(2, lines.count { "ms behind" in it }, lines.toString())
        assertEquals(1, lines.count { "streams to 2 followers" in it }, lines.toString())
    }

    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `the leader is frozen until its lease has expired and then continues`() =
        LoopbackCluster(folder, MACHINES).use { cluster ->
            val workload = startWithServices(cluster)
            val frozen = checkNotNull(cluster.leader())
            workload.submitArrays(ARRAYS)
            cluster.await("arrays run", STEP_TIMEOUT_MS) { workload.runningArrayTaskCount() > 0 }

            val observer = cluster.simulation.call { FailoverObserver(cluster.simulation) }
            frozen.freeze()
            workload.submitArrays(ARRAYS)
            cluster.await("failover", STEP_TIMEOUT_MS) { cluster.simulation.call { observer.times.isComplete } }

            checkOrder(observer.times)
            frozen.resume()
            workload.submitArrays(ARRAYS, frozen.name)
            cluster.await("${frozen.name} is ready", STEP_TIMEOUT_MS) { cluster.isReady(frozen.name) }
            checkAllDoneOnce(cluster, workload)
            assertTrue(frozen.isAlive)
        }

    private fun startWithServices(cluster: LoopbackCluster): LoopbackWorkload {
        cluster.start()
        cluster.await("all machines confirmed by a leader", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
        for (name in cluster.controllers.keys) {
            cluster.await("$name is ready", STEP_TIMEOUT_MS) { cluster.isReady(name) }
        }
        val workload = LoopbackWorkload(cluster.simulation)
        workload.startPolling()
        workload.submitServices(SERVICES)
        cluster.await("services run", STEP_TIMEOUT_MS) { workload.areServicesRunning() }
        return workload
    }

    /** Checks that the new leader confirms machines and starts tasks only after its election. */
    private fun checkOrder(times: FailoverTimes) {
        val electedMs = checkNotNull(times.electedMs)
        assertTrue(electedMs <= checkNotNull(times.confirmedMs))
        assertTrue(electedMs <= checkNotNull(times.firstStartMs))
    }

    private fun checkAllDoneOnce(
        cluster: LoopbackCluster,
        workload: LoopbackWorkload,
    ) {
        cluster.await("all jobs done", STEP_TIMEOUT_MS) { workload.areAllJobsDone() }
        assertTrue(workload.areAllAccepted())
        assertEquals(emptyList<String>(), workload.violations())
        assertEquals(emptyList<String>(), workload.describeWrongStartCounts())
    }

    private companion object {
        const val MACHINES = 24
        const val SERVICES = 24
        const val ARRAYS = 8
        const val STEP_TIMEOUT_MS = 30_000L
        const val TEST_TIMEOUT_S = 90L
        val STANDBY_SETTINGS: Path = Path.of("deploy/operator-warm-standby.json").toAbsolutePath()

        /** Log line of a new leader that has a replica of the previous leader. */
        val WARM_FAILOVER = Regex("failover: standby replica read; term=\\d+ replicaMachines=[1-9]\\d*")
    }
}
