package ledgearch.tools

import ledgearch.config.StateLimits
import ledgearch.simulation.Simulation
import ledgearch.simulation.SimulationOptions
import ledgearch.simulation.leaderName
import ledgearch.simulation.parseJobSpec
import ledgearch.simulation.store.FakeStore

/** What one failover took, in simulated ms from the election; -1: it did not happen. */
internal class FailoverFigures(
    val confirmedMs: Long,
    val firstStartMs: Long,
    val bytesASecond: Long,
    val changesASecond: Long,
    val violations: Int,
)

/** A leader dies among [machines] at work; the next one is watched from outside until it places older work. */
internal class FailoverRun(
    seed: Long,
    private val machines: Int,
    private val commandMs: Long,
    private val warm: Boolean,
    private val laterSessions: Boolean,
) {
    private val simulation =
        Simulation(
            SimulationOptions(
                NODES,
                seed,
                teamMaxVcpus = 10_000.0,
                stateLimits = StateLimits(200.0, 60.0, 8.0, 16),
                standbyNodes = if (warm) setOf("n1", "n2", "n3") else emptySet(),
            ),
        )
    private val clock = simulation.clock
    private var firstStartMs = -1L
    private var electedAt = 0L
    private var token = 0L
    private var bytesASecond = 0L
    private var changesASecond = 0L

    fun play(): FailoverFigures {
        repeat(machines) { simulation.cloud.add(if (it % 2 == 0) "a" else "b", false) }
        simulation.nodes.forEach { it.start() }
        clock.at(SUBMIT_MS) {
            simulation.submit(service())
            simulation.submit(batch())
        }
        if (laterSessions) {
            clock.at(OUTAGE_FROM_MS) { simulation.nodes.forEach { it.crash() } }
            clock.at(OUTAGE_TO_MS) { simulation.nodes.forEach { it.start() } }
        }
        clock.at(CRASH_MS - SLOW_BEFORE_MS) { if (commandMs > 0) slowDown() }
        clock.at(CRASH_MS - FROZEN_MS) { freezeLeader() }
        clock.at(CRASH_MS) { crashLeader() }
        clock.runUntil(END_MS)
        val confirmedMs = simulation.nodes.firstNotNullOfOrNull { it.failoverMs } ?: -1
        return FailoverFigures(
            confirmedMs,
            firstStartMs,
            bytesASecond,
            changesASecond,
            simulation.invariants.violations.size,
        )
    }

    private fun service() = request("job-1 service=yes priority=prod cpus=1 tasks=$machines")

    private fun batch() = request("job-2 cpus=1 run=30 tasks=${machines * TASKS_A_MACHINE}")

    /** Accepted while the leader does nothing any more, with room for it everywhere. */
    private fun waiting() = request("job-3 cpus=0.5 run=20 tasks=$machines")

    private fun request(words: String) = parseJobSpec(words.split(' '))

    private fun slowDown() = simulation.nodes.forEach { it.slowDown(commandMs, END_MS) }

    /** What is accepted from now on waits for the next leader. */
    private fun freezeLeader() {
        val leader = simulation.nodes.first { it.name == leaderName(simulation) }
        leader.freeze(END_MS)
        val other = simulation.nodes.first { it !== leader }
        clock.after(1) { simulation.users.submit(waiting(), other.name) }
    }

    private fun crashLeader() {
        val leader = simulation.nodes.first { it.name == leaderName(simulation) }
        val log = leader.standby?.streamLog
        bytesASecond = simulation.streams.sentBytes * MS_PER_SECOND / CRASH_MS
        if (log != null && log.sequence > 0) changesASecond = log.changeCount / log.sequence
        token = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
        leader.crash()
        watch(leader.name)
    }

    private fun watch(dead: String) {
        val modRevision = simulation.store.modRevision(FakeStore.LEADERSHIP_KEY)
        if (electedAt == 0L && modRevision > token && leaderName(simulation) != dead) {
            electedAt = clock.nowMs
            token = modRevision
        }
        if (electedAt != 0L && firstStartMs < 0 && simulation.invariants.startCount("job-3") > 0) {
            firstStartMs = clock.nowMs - electedAt
        }
        clock.after(WATCH_MS) { watch(dead) }
    }

    private companion object {
        const val NODES = 3
        const val MS_PER_SECOND = 1000L
        const val SUBMIT_MS = 3_000L
        const val OUTAGE_FROM_MS = 20_000L
        const val OUTAGE_TO_MS = 40_000L
        const val SLOW_BEFORE_MS = 15_000L
        const val CRASH_MS = 100_000L
        const val END_MS = 160_000L
        const val WATCH_MS = 10L
        const val FROZEN_MS = 2_000L
        const val TASKS_A_MACHINE = 3
    }
}
