package ledgearch.tools

import ledgearch.config.OperatorSettings
import ledgearch.config.RecoveryGroup
import ledgearch.config.StateLimits
import ledgearch.config.ZoneRecoverySettings
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.simulation.parseJobSpec
import ledgearch.wire.TaskState

/** What one loss and return of a zone did, in simulated ms from the loss; null: it did not happen. */
internal class RecoveryFigures(
    /** When each job had all its tasks running again, in the operators' order. */
    val fullyRunningAfterMs: List<Long?>,
    val peakStartsASecond: Int,
    val peakFetches: Int,
    /** Starts of replicas beyond the first of each: displaced ones, and those moved or lost once more. */
    val replicaRestarts: Int,
    val violations: Int,
)

/** Zone recovery is off, on, or on with the order that the operators state. */
internal enum class RecoveryMode { OFF, ON, ORDERED }

/** A zone with half of the machines is lost for a while, returns, and is lost for moments twice more. */
internal class RecoveryRun(
    seed: Long,
    mode: RecoveryMode,
) {
    private val simulation =
        Simulation(
            SimulationOptions(
                NODES,
                seed,
                OperatorSettings(zoneRecovery = settings(mode)),
                teamMaxVcpus = TEAM_MAX,
                stateLimits = StateLimits(200.0, 60.0, 8.0, 16),
            ),
        )
    private val clock = simulation.clock
    private var peakFetches = 0

    fun play(): RecoveryFigures {
        simulation.cloud.capacity = 2 * MACHINES
        simulation.cloud.zoneCapacity = MACHINES
        repeat(2 * MACHINES) { simulation.cloud.add(if (it % 2 == 0) "a" else "b", false) }
        simulation.nodes.forEach { it.start() }
        clock.at(SUBMIT_MS) { JOBS.forEach { simulation.submit(parseJobSpec(it.split(' '))) } }
        cut(LOST_MS, BACK_MS)
        for (loss in 1..FLAPS) {
            val from = BACK_MS + loss * FLAP_EVERY_MS
            cut(from, from + FLAP_MS)
        }
        clock.at(LOST_MS) { watchFetches() }
        clock.runUntil(END_MS)
        return figures()
    }

    private fun cut(
        fromMs: Long,
        toMs: Long,
    ) = clock.at(fromMs) { simulation.network.partition("zone-b", "nodes", toMs, hold = false) }

    private fun watchFetches() {
        val fetching =
            simulation.workers.values.sumOf { worker ->
                worker.tasks.values.count { it.state == TaskState.FETCHING }
            }
        peakFetches = maxOf(peakFetches, fetching)
        clock.after(CHECK_MS, ::watchFetches)
    }

    private fun figures(): RecoveryFigures {
        val placementTimes = simulation.invariants.placementTimes
        val fullyRunning =
            ORDERED_JOBS.map { job -> placementTimes.firstFullyRunningAtMs(job, LOST_MS)?.let { it - LOST_MS } }
        val restarts = SERVICES.entries.sumOf { (job, tasks) -> simulation.invariants.startCount(job) - tasks }
        val violations = simulation.invariants.violations.size
        return RecoveryFigures(
            fullyRunning,
            placementTimes.peakStartsPerSecond(LOST_MS),
            peakFetches,
            restarts,
            violations,
        )
    }

    companion object {
        /** Lobby, slips, storefront and nightly work, in the operators' order. */
        val ORDERED_JOBS = listOf("job-1", "job-2", "job-3", "job-4")
        private val SERVICES = mapOf("job-1" to 30, "job-3" to 30, "job-9" to 40)

        /** They fill nine tenths of both zones; job-9 needs both, so that machines of a lost zone are kept. */
        private val JOBS =
            listOf(
                "job-9 class=spread service=yes priority=prod team=blue spread=yes tasks=40 cpus=1",
                "job-1 class=lobby service=yes priority=prod tasks=30 cpus=1",
                "job-2 class=slips priority=urgent tasks=30 cpus=1 run=600",
                "job-3 class=web service=yes priority=prod team=blue tasks=30 cpus=1",
                "job-4 class=night tasks=150 cpus=1 run=600",
            )

        private fun settings(mode: RecoveryMode): ZoneRecoverySettings {
            val order = listOf("lobby", "slips", "web", "*").map { RecoveryGroup(name = it, classes = listOf(it)) }
            return ZoneRecoverySettings(
                mode != RecoveryMode.OFF,
                if (mode == RecoveryMode.ORDERED) order else emptyList(),
            )
        }

        private const val NODES = 3
        private const val MACHINES = 20
        private const val TEAM_MAX = 10_000.0
        private const val SUBMIT_MS = 3_000L
        private const val LOST_MS = 60_000L
        private const val BACK_MS = 130_000L
        private const val FLAPS = 2
        private const val FLAP_EVERY_MS = 25_000L
        private const val FLAP_MS = 12_000L
        private const val END_MS = 330_000L
        private const val CHECK_MS = 200L
    }
}
