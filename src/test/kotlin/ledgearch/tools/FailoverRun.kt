package ledgearch.tools

import ledgearch.config.StateLimits
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.simulation.leaderName
import ledgearch.simulation.parseJobSpec
import ledgearch.simulation.store.FakeStore

/** Measurements of one failover; times are in simulated ms since the election, or -1 if the event did not occur. */
internal class FailoverMeasurements(
    val confirmedMs: Long,
    val firstStartMs: Long,
    val bytesPerSecond: Long,
    val changesPerSecond: Long,
    val violationCount: Int,
)

/** Crashes the leader of a busy cluster and measures when the next one starts tasks of a job accepted before. */
internal class FailoverRun(
    seed: Long,
    private val machines: Int,
    private val msPerCommand: Long,
    private val isWarm: Boolean,
    private val hasRestarted: Boolean,
) {
    private val simulation =
        Simulation(
            SimulationOptions(
                NODE_COUNT,
                seed,
                teamMaxVcpus = 10_000.0,
                stateLimits = StateLimits(200.0, 60.0, 8.0, 16),
                standbyNodes = if (isWarm) setOf("n1", "n2", "n3") else emptySet(),
            ),
        )
    private val clock = simulation.clock
    private var firstStartMs = -1L
    private var electedAtMs = 0L
    private var token = 0L
    private var bytesPerSecond = 0L
    private var changesPerSecond = 0L

    fun play(): FailoverMeasurements {
        repeat(machines) { simulation.cloud.add(if (it % 2 == 0) "a" else "b", false) }
        simulation.nodes.forEach { it.start() }
        clock.at(SUBMIT_MS) {
            simulation.submit(serviceJob())
            simulation.submit(batchJob())
        }
        if (hasRestarted) {
            clock.at(OUTAGE_START_MS) { simulation.nodes.forEach { it.crash() } }
            clock.at(OUTAGE_END_MS) { simulation.nodes.forEach { it.start() } }
        }
        clock.at(CRASH_MS - SLOW_DURATION_MS) { if (msPerCommand > 0) slowDown() }
        clock.at(CRASH_MS - FREEZE_DURATION_MS) { freezeLeader() }
        clock.at(CRASH_MS) { crashLeader() }
        clock.runUntil(END_MS)
        val confirmedMs = simulation.nodes.firstNotNullOfOrNull { it.failoverMs } ?: -1
        return FailoverMeasurements(
            confirmedMs,
            firstStartMs,
            bytesPerSecond,
            changesPerSecond,
            simulation.invariants.violations.size,
        )
    }

    private fun serviceJob() = jobSpec("job-1 service=yes priority=prod cpus=1 tasks=$machines")

    private fun batchJob() = jobSpec("job-2 cpus=1 run=30 tasks=${machines * TASKS_PER_MACHINE}")

    /** Returns a job that is accepted while the leader is frozen, with free capacity on every machine. */
    private fun pendingJob() = jobSpec("job-3 cpus=0.5 run=20 tasks=$machines")

    private fun jobSpec(words: String) = parseJobSpec(words.split(' '))

    private fun slowDown() = simulation.nodes.forEach { it.slowDown(msPerCommand, END_MS) }

    /** Freezes the leader, so that jobs accepted from now on are placed by the next one. */
    private fun freezeLeader() {
        val leader = simulation.nodes.first { it.name == leaderName(simulation) }
        leader.freeze(END_MS)
        val other = simulation.nodes.first { it !== leader }
        clock.after(1) { simulation.users.submit(pendingJob(), other.name) }
    }

    private fun crashLeader() {
        val leader = simulation.nodes.first { it.name == leaderName(simulation) }
        val log = leader.standby?.streamLog
        bytesPerSecond = simulation.streams.sentBytes * MS_PER_SECOND / CRASH_MS
        if (log != null && log.sequence > 0) changesPerSecond = log.changeCount / log.sequence
        token = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
        leader.crash()
        observe(leader.name)
    }

    private fun observe(crashedLeader: String) {
        val modRevision = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
        if (electedAtMs == 0L && modRevision > token && leaderName(simulation) != crashedLeader) {
            electedAtMs = clock.nowMs
            token = modRevision
        }
        if (electedAtMs != 0L && firstStartMs < 0 && simulation.invariants.startCount("job-3") > 0) {
            firstStartMs = clock.nowMs - electedAtMs
        }
        clock.after(OBSERVATION_INTERVAL_MS) { observe(crashedLeader) }
    }

    private companion object {
        const val NODE_COUNT = 3
        const val MS_PER_SECOND = 1000L
        const val SUBMIT_MS = 3_000L
        const val OUTAGE_START_MS = 20_000L
        const val OUTAGE_END_MS = 40_000L
        const val SLOW_DURATION_MS = 15_000L
        const val CRASH_MS = 100_000L
        const val END_MS = 160_000L
        const val OBSERVATION_INTERVAL_MS = 10L
        const val FREEZE_DURATION_MS = 2_000L
        const val TASKS_PER_MACHINE = 3
    }
}
