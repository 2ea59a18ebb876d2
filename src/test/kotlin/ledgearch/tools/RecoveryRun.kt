package ledgearch.tools

import ledgearch.config.OperatorSettings
import ledgearch.config.RecoveryGroup
import ledgearch.config.StateLimits
import ledgearch.config.ZoneRecoverySettings
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.simulation.parseJobSpec
import ledgearch.wire.TaskState

/** Measurements of one loss and return of a zone, with times in simulated ms since the loss. */
internal class RecoveryMeasurements(
    /** Times at which all tasks of each job were running again, in the operators' order; null if they never were. */
    val fullyRunningAfterMs: List<Long?>,
    val peakStartsPerSecond: Int,
    val peakFetchCount: Int,
    /** Starts of replicas beyond the first of each, after displacement, moves and further losses. */
    val replicaRestartCount: Int,
    val violationCount: Int,
)

/** Zone recovery: off, on, or on with an order set by the operators. */
internal enum class RecoveryMode { OFF, ON, ORDERED }

/** Partitions a zone with half of the machines for a while, and twice more briefly after its return. */
internal class RecoveryRun(
    seed: Long,
    mode: RecoveryMode,
) {
    private val simulation =
        Simulation(
            SimulationOptions(
                NODE_COUNT,
                seed,
                OperatorSettings(zoneRecovery = settings(mode)),
                teamMaxVcpus = TEAM_MAX_VCPUS,
                stateLimits = StateLimits(200.0, 60.0, 8.0, 16),
            ),
        )
    private val clock = simulation.clock
    private var peakFetchCount = 0

    fun play(): RecoveryMeasurements {
        simulation.cloud.capacity = 2 * MACHINES_PER_ZONE
        simulation.cloud.zoneCapacity = MACHINES_PER_ZONE
        repeat(2 * MACHINES_PER_ZONE) { simulation.cloud.add(if (it % 2 == 0) "a" else "b", false) }
        simulation.nodes.forEach { it.start() }
        clock.at(SUBMIT_MS) { JOBS.forEach { simulation.submit(parseJobSpec(it.split(' '))) } }
        partitionZone(LOSS_MS, RETURN_MS)
        for (flap in 1..FLAP_COUNT) {
            val fromMs = RETURN_MS + flap * FLAP_INTERVAL_MS
            partitionZone(fromMs, fromMs + FLAP_DURATION_MS)
        }
        clock.at(LOSS_MS) { watchFetches() }
        clock.runUntil(END_MS)
        return measurements()
    }

    private fun partitionZone(
        fromMs: Long,
        toMs: Long,
    ) = clock.at(fromMs) { simulation.network.partition("zone-b", "nodes", toMs, hold = false) }

    private fun watchFetches() {
        val fetching =
            simulation.workers.values.sumOf { worker ->
                worker.tasks.values.count { it.state == TaskState.FETCHING }
            }
        peakFetchCount = maxOf(peakFetchCount, fetching)
        clock.after(CHECK_INTERVAL_MS, ::watchFetches)
    }

    private fun measurements(): RecoveryMeasurements {
        val placementTimes = simulation.invariants.placementTimes
        val fullyRunning =
            ORDERED_JOBS.map { job -> placementTimes.firstFullyRunningAtMs(job, LOSS_MS)?.let { it - LOSS_MS } }
        val restarts = SERVICES.entries.sumOf { (job, tasks) -> simulation.invariants.startCount(job) - tasks }
        val violationCount = simulation.invariants.violations.size
        return RecoveryMeasurements(
            fullyRunning,
            placementTimes.peakStartsPerSecond(LOSS_MS),
            peakFetchCount,
            restarts,
            violationCount,
        )
    }

    companion object {
        /** Jobs of the classes lobby, slips, web and night, in the operators' order. */
        val ORDERED_JOBS = listOf("job-1", "job-2", "job-3", "job-4")
        private val SERVICES = mapOf("job-1" to 30, "job-3" to 30, "job-9" to 40)

        /** Jobs that fill 90% of both zones; job-9 needs both, so that machines of a lost zone are kept. */
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

        private const val NODE_COUNT = 3
        private const val MACHINES_PER_ZONE = 20
        private const val TEAM_MAX_VCPUS = 10_000.0
        private const val SUBMIT_MS = 3_000L
        private const val LOSS_MS = 60_000L
        private const val RETURN_MS = 130_000L
        private const val FLAP_COUNT = 2
        private const val FLAP_INTERVAL_MS = 25_000L
        private const val FLAP_DURATION_MS = 12_000L
        private const val END_MS = 330_000L
        private const val CHECK_INTERVAL_MS = 200L
    }
}
