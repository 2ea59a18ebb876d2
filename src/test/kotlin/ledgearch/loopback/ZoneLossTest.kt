package ledgearch.loopback

import ledgearch.client.ControllerStatus
import ledgearch.recovery.ZoneReport
import ledgearch.simulation.parseJobSpec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText

/**
 * Three real controller processes lose the workers of one zone, which return later with what they ran. Order and safety
 * are asserted, never a speed.
 */
internal class ZoneLossTest {
    @TempDir
    lateinit var folder: Path

    @Test
    @Timeout(TEST_LIMIT_S)
    fun `a zone is lost and returns, the lobby runs fully before the nightly work, nothing runs twice`() {
        val settings = folder.resolve("operator.json").apply { writeText(SETTINGS) }
        LoopbackCluster(folder, MACHINES, settings).use { cluster ->
            cluster.start()
            cluster.await("a leader whom all follow", STEP_LIMIT_MS) { cluster.everyMachineConfirmed() }
            cluster.await("every job accepted", STEP_LIMIT_MS) { submitted(cluster) }
            cluster.await("all jobs run", STEP_LIMIT_MS) { allRun(cluster) }

            val lostAt = cluster.simulation.call { cluster.simulation.clock.nowMs }
            hang(cluster, true)
            cluster.await("zone b is lost", STEP_LIMIT_MS) { zoneB(cluster)?.state == "lost" }
            // Tasks on workers that stand still count as running: the lobby must have been started anew.
            cluster.await("the lobby runs fully again", STEP_LIMIT_MS) {
                fullyRunningAgainAt(cluster, LOBBY, lostAt) != null
            }
            hang(cluster, false)
            cluster.await("zone b is back", STEP_LIMIT_MS) { zoneB(cluster)?.state in setOf("returning", "up") }
            cluster.await("all jobs run again", STEP_LIMIT_MS) { allRun(cluster) }

            assertEquals(
                emptyList<String>(),
                cluster.simulation.call {
                    cluster.simulation.invariants.violations
                        .toList()
                },
            )
            val lobby = checkNotNull(fullyRunningAgainAt(cluster, LOBBY, lostAt))
            val night = fullyRunningAgainAt(cluster, NIGHT, lostAt)
            assertTrue(night == null || lobby <= night, "lobby at $lobby, nightly work at $night")
        }
    }

    private fun submitted(cluster: LoopbackCluster): Boolean {
        cluster.simulation.call { JOBS.forEach { cluster.simulation.submit(parseJobSpec(it.split(' '))) } }
        return cluster.waitFor(ACCEPTED_MS) {
            cluster.simulation.call {
                listOf(
                    SPREAD,
                    LOBBY,
                    NIGHT,
                ).all { cluster.simulation.invariants.isAccepted(it) }
            }
        }
    }

    private fun running(
        cluster: LoopbackCluster,
        job: String,
    ) = cluster.simulation.call { cluster.simulation.runningTaskCount(job) }

    private fun allRun(cluster: LoopbackCluster) =
        running(cluster, SPREAD) == SPREAD_TASKS && running(cluster, LOBBY) == LOBBY_TASKS &&
            running(cluster, NIGHT) == NIGHT_TASKS

    /** When a start first made the job run fully again after the loss (ms), or null. */
    private fun fullyRunningAgainAt(
        cluster: LoopbackCluster,
        job: String,
        lostAt: Long,
    ): Long? =
        cluster.simulation.call {
            cluster.simulation.invariants.placementTimes
                .firstFullyRunningAtMs(job, lostAt)
        }

    /** The workers of zone b stand still, and with them what they run. */
    private fun hang(
        cluster: LoopbackCluster,
        hanging: Boolean,
    ) = cluster.simulation.call {
        cluster.simulation.workers.values
            .filter { it.zone == "b" }
            .forEach { it.isHanging = hanging }
    }

    private fun zoneB(cluster: LoopbackCluster): ZoneReport? {
        val leader = cluster.leader() ?: return null
        val status = cluster.status(leader.name) as? ControllerStatus.Available
        return status
            ?.report
            ?.recovery
            ?.zones
            ?.firstOrNull { it.zone == "b" }
    }

    private companion object {
        const val MACHINES = 16
        const val SPREAD = "job-9"
        const val SPREAD_TASKS = 16
        const val LOBBY = "job-1"
        const val LOBBY_TASKS = 16
        const val NIGHT = "job-2"
        const val NIGHT_TASKS = 48
        val JOBS =
            listOf(
                "$SPREAD service=yes priority=prod spread=yes tasks=$SPREAD_TASKS cpus=1",
                "$LOBBY class=lobby service=yes priority=prod tasks=$LOBBY_TASKS cpus=2",
                "$NIGHT class=night tasks=$NIGHT_TASKS cpus=1 run=600",
            )
        const val SETTINGS = """{"zoneRecovery":{"enabled":true,"order":[{"classes":["lobby"]},{"default":true}]}}"""
        const val ACCEPTED_MS = 3_000L
        const val STEP_LIMIT_MS = 60_000L
        const val TEST_LIMIT_S = 240L
    }
}
