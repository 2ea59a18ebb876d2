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
 * Three real controller processes lose the workers of one zone, which return later with their tasks. Checks order and
 * safety, not speed.
 */
internal class ZoneLossTest {
    @TempDir
    lateinit var folder: Path

    @Test
    @Timeout(TEST_TIMEOUT_S)
    fun `a zone is lost and returns, the lobby runs fully before the night job, no task runs twice`() {
        val settings = folder.resolve("operator.json").apply { writeText(SETTINGS) }
        LoopbackCluster(folder, MACHINES, settings).use { cluster ->
            cluster.start()
            cluster.await("all machines confirmed by a leader", STEP_TIMEOUT_MS) { cluster.areAllMachinesConfirmed() }
            cluster.await("every job accepted", STEP_TIMEOUT_MS) { submitAll(cluster) }
            cluster.await("all jobs run", STEP_TIMEOUT_MS) { areAllRunning(cluster) }

            val lostAtMs = cluster.simulation.call { cluster.simulation.clock.nowMs }
            setHanging(cluster, true)
            cluster.await("zone b is lost", STEP_TIMEOUT_MS) { zoneB(cluster)?.state == "lost" }
            // Tasks on hanging workers count as running, so a start of the lobby after the loss is awaited.
            cluster.await("the lobby runs fully again", STEP_TIMEOUT_MS) {
                fullyRunningAgainAtMs(cluster, LOBBY, lostAtMs) != null
            }
            setHanging(cluster, false)
            cluster.await("zone b is back", STEP_TIMEOUT_MS) { zoneB(cluster)?.state in setOf("returning", "up") }
            cluster.await("all jobs run again", STEP_TIMEOUT_MS) { areAllRunning(cluster) }

            assertEquals(
                emptyList<String>(),
                cluster.simulation.call {
                    cluster.simulation.invariants.violations
                        .toList()
                },
            )
            val lobbyMs = checkNotNull(fullyRunningAgainAtMs(cluster, LOBBY, lostAtMs))
            val nightMs = fullyRunningAgainAtMs(cluster, NIGHT, lostAtMs)
            assertTrue(nightMs == null || lobbyMs <= nightMs, "lobby at $lobbyMs ms, night job at $nightMs ms")
        }
    }

    private fun submitAll(cluster: LoopbackCluster): Boolean {
        cluster.simulation.call { JOBS.forEach { cluster.simulation.submit(parseJobSpec(it.split(' '))) } }
        return cluster.waitFor(ACCEPT_TIMEOUT_MS) {
            cluster.simulation.call {
                listOf(
                    SPREAD,
                    LOBBY,
                    NIGHT,
                ).all { cluster.simulation.invariants.isAccepted(it) }
            }
        }
    }

    private fun runningTaskCount(
        cluster: LoopbackCluster,
        job: String,
    ) = cluster.simulation.call { cluster.simulation.runningTaskCount(job) }

    private fun areAllRunning(cluster: LoopbackCluster) =
        runningTaskCount(cluster, SPREAD) == SPREAD_TASKS && runningTaskCount(cluster, LOBBY) == LOBBY_TASKS &&
            runningTaskCount(cluster, NIGHT) == NIGHT_TASKS

    /** Returns the time of the first start after the loss with which all tasks of [job] run, or null. */
    private fun fullyRunningAgainAtMs(
        cluster: LoopbackCluster,
        job: String,
        lostAtMs: Long,
    ): Long? =
        cluster.simulation.call {
            cluster.simulation.invariants.placementTimes
                .firstFullyRunningAtMs(job, lostAtMs)
        }

    /** Makes the workers of zone b hang or continue, together with their tasks. */
    private fun setHanging(
        cluster: LoopbackCluster,
        isHanging: Boolean,
    ) = cluster.simulation.call {
        cluster.simulation.workers.values
            .filter { it.zone == "b" }
            .forEach { it.isHanging = isHanging }
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
        const val ACCEPT_TIMEOUT_MS = 3_000L
        const val STEP_TIMEOUT_MS = 60_000L
        const val TEST_TIMEOUT_S = 240L
    }
}
