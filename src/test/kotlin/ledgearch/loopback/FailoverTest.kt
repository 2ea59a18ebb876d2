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
 * Three real controller processes on loopback lose their leader. Order and safety are asserted, never a speed: the
 * limits only bound the run on a busy machine.
 */
internal class FailoverTest {
    @TempDir
    lateinit var folder: Path

    @Test
    @Timeout(TEST_LIMIT_S)
    fun `the leader is killed and starts again`() =
        LoopbackCluster(folder, MACHINES).use { cluster ->
            val workload = begin(cluster)
            val killed = checkNotNull(cluster.leader())
            workload.submitArrays(ARRAYS)
            cluster.await("arrays run", STEP_LIMIT_MS) { workload.runningArrayTasks() > 0 }

            val watch = cluster.simulation.call { FailoverWatch(cluster.simulation) }
            killed.kill()
            workload.submitArrays(ARRAYS)
            cluster.await("failover", STEP_LIMIT_MS) { cluster.simulation.call { watch.times.complete } }
            expectOrder(watch.times)

            killed.start()
            cluster.await("${killed.name} joins", STEP_LIMIT_MS) { cluster.isReady(killed.name) }
            workload.submitArrays(ARRAYS, killed.name)
            expectServedOnce(cluster, workload)
        }

    @Test
    @Timeout(TEST_LIMIT_S)
    fun `with warm standby the leader is killed, and its follower takes over from the replica`() =
        LoopbackCluster(folder, MACHINES, STANDBY_SETTINGS).use { cluster ->
            val workload = begin(cluster)
            val killed = checkNotNull(cluster.leader())
            workload.submitArrays(ARRAYS)
            cluster.await("arrays run", STEP_LIMIT_MS) { workload.runningArrayTasks() > 0 }
            val follower = cluster.controllers.keys.first { it != killed.name }
            cluster.await("$follower holds a replica", STEP_LIMIT_MS) { replicaOf(cluster, follower) > 0 }
            expectStatusTells(cluster)

            val watch = cluster.simulation.call { FailoverWatch(cluster.simulation) }
            killed.kill()
            workload.submitArrays(ARRAYS)
            cluster.await("failover", STEP_LIMIT_MS) { cluster.simulation.call { watch.times.complete } }
            expectOrder(watch.times)
            assertTrue(cluster.logOf(checkNotNull(cluster.leader()).name).any { WARM_FAILOVER.containsMatchIn(it) })

            killed.start()
            cluster.await("${killed.name} joins", STEP_LIMIT_MS) { cluster.isReady(killed.name) }
            expectServedOnce(cluster, workload)
        }

    /** Records of machines and more that the replica of [name] holds, by its own metrics; 0 without a whole one. */
    private fun replicaOf(
        cluster: LoopbackCluster,
        name: String,
    ): Int {
        val status = cluster.status(name) as? ControllerStatus.Available ?: return 0
        val standby = status.report.standby ?: return 0
        return if (standby.msBehind >= 0) standby.recordsHeld else 0
    }

    /** The command line's status names one leader, and the lag of each follower. */
    private fun expectStatusTells(cluster: LoopbackCluster) {
        val lines = cluster.controllers.keys.flatMap { StatusText.of(it, cluster.status(it)) }
        assertEquals(1, lines.count { "leads under token" in it }, lines.toString())
        assertEquals(2, lines.count { "ms behind" in it }, lines.toString())
        assertEquals(1, lines.count { "streams to 2 followers" in it }, lines.toString())
    }

    @Test
    @Timeout(TEST_LIMIT_S)
    fun `the leader is frozen past its lease and wakes`() =
        LoopbackCluster(folder, MACHINES).use { cluster ->
            val workload = begin(cluster)
            val frozen = checkNotNull(cluster.leader())
            workload.submitArrays(ARRAYS)
            cluster.await("arrays run", STEP_LIMIT_MS) { workload.runningArrayTasks() > 0 }

            val watch = cluster.simulation.call { FailoverWatch(cluster.simulation) }
            frozen.freeze()
            workload.submitArrays(ARRAYS)
            cluster.await("failover", STEP_LIMIT_MS) { cluster.simulation.call { watch.times.complete } }

            expectOrder(watch.times)
            frozen.resume()
            workload.submitArrays(ARRAYS, frozen.name)
            cluster.await("${frozen.name} answers", STEP_LIMIT_MS) { cluster.isReady(frozen.name) }
            expectServedOnce(cluster, workload)
            assertTrue(frozen.alive)
        }

    private fun begin(cluster: LoopbackCluster): LoopbackWorkload {
        cluster.start()
        cluster.await("a leader whom all follow", STEP_LIMIT_MS) { cluster.everyMachineConfirmed() }
        for (name in cluster.controllers.keys) {
            cluster.await("$name is ready", STEP_LIMIT_MS) { cluster.isReady(name) }
        }
        val workload = LoopbackWorkload(cluster.simulation)
        workload.beginPolling()
        workload.submitServices(SERVICES)
        cluster.await("services run", STEP_LIMIT_MS) { workload.servicesRun() }
        return workload
    }

    /** Nothing is placed by the new leader before it is elected. */
    private fun expectOrder(times: FailoverTimes) {
        val elected = checkNotNull(times.elected)
        assertTrue(elected <= checkNotNull(times.confirmed))
        assertTrue(elected <= checkNotNull(times.firstStart))
    }

    private fun expectServedOnce(
        cluster: LoopbackCluster,
        workload: LoopbackWorkload,
    ) {
        cluster.await("all jobs served", STEP_LIMIT_MS) { workload.allServed() }
        assertTrue(workload.allAccepted())
        assertEquals(emptyList<String>(), workload.violations())
        assertEquals(emptyList<String>(), workload.jobsNotStartedOnce())
    }

    private companion object {
        const val MACHINES = 24
        const val SERVICES = 24
        const val ARRAYS = 8
        const val STEP_LIMIT_MS = 30_000L
        const val TEST_LIMIT_S = 90L
        val STANDBY_SETTINGS: Path = Path.of("deploy/operator-warm-standby.json").toAbsolutePath()

        /** What a new leader logs that has a replica of the leader before. */
        val WARM_FAILOVER = Regex("failover: standby replica read; term=\\d+ replicaMachines=[1-9]\\d*")
    }
}
