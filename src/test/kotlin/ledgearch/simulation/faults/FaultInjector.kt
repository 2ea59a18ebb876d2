package ledgearch.simulation.faults

import ledgearch.simulation.SimulatedNode
import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.store.FakeStore

/**
 * Injects random faults, two or three together, to cover combinations that no scenario names. All end some time after
 * the last draw.
 */
internal class FaultInjector(
    private val simulation: Simulation,
    withChains: Boolean = false,
    atProductionSize: Boolean = false,
    withRestarts: Boolean = false,
) {
    /** Time for which a cancellation without a reply is repeated. */
    private val retryForMs = if (atProductionSize) Users.LONG_RETRY_FOR_MS else Users.RETRY_FOR_MS

    private val clock get() = simulation.clock
    private val random get() = simulation.random

    private fun leaderName() = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node") ?: simulation.nodes.first().name

    private fun randomMachine() =
        simulation.cloud.machineNames
            .filter { it in simulation.workers }
            .let { if (it.isEmpty()) "nowhere" else it[random.nextInt(it.size)] }

    private fun randomMachines(maxCount: Int) = List(1 + random.nextInt(maxCount)) { randomMachine() }.distinct()

    private fun randomMs(
        fromS: Int,
        toS: Int,
    ) = (fromS * 1000 + random.nextInt((toS - fromS) * 1000)).toLong()

    private fun randomEndMs(
        fromS: Int,
        toS: Int,
    ) = clock.nowMs + randomMs(fromS, toS)

    private fun leaderNode() = simulation.nodes.first { it.name == leaderName() }

    private fun restart(
        node: SimulatedNode,
        delayMs: Long,
    ) {
        node.crash()
        clock.after(delayMs) { if (!node.isUp) node.start() }
    }

    private fun injectFor(
        durationMs: Long,
        begin: () -> Unit,
        end: () -> Unit,
    ) {
        begin()
        clock.after(durationMs, end)
    }

    private val clusterFaults: List<() -> Unit> =
        listOf(
            { simulation.store.refuse(leaderName(), randomEndMs(4, 20)) },
            { clock.after(random.nextLong(3_000)) { simulation.beginStoreOutage(randomMs(5, 50)) } },
            ::executeWritesLate,
            ::loseRepliesToWrites,
            ::slowWrites,
            { restart(leaderNode(), randomMs(0, 6)) },
            { simulation.nodes.forEach { restart(it, randomMs(0, 4)) } },
            { repeat(4) { i -> clock.after(i * 6_000L) { restart(leaderNode(), 200L) } } },
            { leaderNode().freeze(randomEndMs(1, 12)) },
            { randomMachines(6).forEach { simulation.hang(it, randomMs(2, 40)) } },
            { simulation.users.cancelRunning(1 + random.nextInt(4), randomMs(3, 30), retryForMs) },
            { simulation.users.cancelRunning(1 + random.nextInt(4), 0, retryForMs) },
            ::loseMessagesToMachines,
            { simulation.heartbeats.lose(randomMachines(6), randomEndMs(5, 40)) },
            { randomMachines(4).forEach(simulation::reclaim) },
            ::slowDownLinksToMachines,
            ::partitionZone,
            ::isolateLeader,
            { simulation.network.partition(leaderName(), "workers", randomEndMs(5, 30), hold = random.nextBoolean()) },
            { injectFor(randomMs(5, 25), { simulation.cloud.isDown = true }, { simulation.cloud.isDown = false }) },
            ::replayHeartbeats,
        )

    private fun executeWritesLate() {
        val faults = simulation.store.faults
        injectFor(randomMs(5, 20), { faults.lateWriteShare = 0.3 }, { faults.lateWriteShare = 0.0 })
    }

    private fun loseRepliesToWrites() {
        val faults = simulation.store.faults
        injectFor(randomMs(5, 20), { faults.lostReplyShare = 0.5 }, { faults.lostReplyShare = 0.0 })
    }

    private fun slowWrites() {
        val faults = simulation.store.faults
        injectFor(randomMs(5, 20), { faults.writeReplyDelayMs = randomMs(1, 4) }, { faults.writeReplyDelayMs = 0 })
    }

    private fun loseMessagesToMachines() =
        randomMachines(6).forEach {
            simulation.network.partition("nodes", it, randomEndMs(5, 40), hold = random.nextBoolean(), oneWay = true)
        }

    private fun slowDownLinksToMachines() =
        randomMachines(6).forEach {
            simulation.network.slowDown("nodes", it, randomEndMs(5, 20), randomMs(1, 6), oneWay = random.nextBoolean())
        }

    private fun partitionZone() {
        val zone = "zone-" + if (random.nextBoolean()) "a" else "b"
        simulation.network.partition(zone, "nodes", randomEndMs(5, 40), hold = random.nextBoolean())
    }

    /** Partitions the leader from the state service and all other controllers. */
    private fun isolateLeader() {
        val endMs = randomEndMs(5, 40)
        val isolated = leaderName()
        for (other in listOf("state") + simulation.nodes.map { it.name }) {
            if (other != isolated) simulation.network.partition(isolated, other, endMs, hold = random.nextBoolean())
        }
    }

    private fun replayHeartbeats() {
        val heartbeats = simulation.heartbeats
        injectFor(randomMs(10, 40), { heartbeats.replayShare = 0.3 }, { heartbeats.replayShare = 0.0 })
    }

    /** Cancellations of jobs that others depend on. */
    private val dependencyFaults: List<() -> Unit> =
        listOf(
            ::cancelDependencies,
            ::cancelDependencies,
            {
                cancelDependencies()
                clock.after(random.nextLong(1_000)) { restart(leaderNode(), randomMs(0, 4)) }
            },
            {
                cancelDependencies()
                clock.after(random.nextLong(1_000)) { simulation.beginStoreOutage(randomMs(5, 50)) }
            },
        )

    private fun cancelDependencies() = simulation.users.cancelDependencies(1 + random.nextInt(3), retryForMs)

    private val faults =
        clusterFaults + (if (withChains) dependencyFaults else emptyList()) +
            (if (atProductionSize) ProductionFaults(simulation).faults else emptyList()) +
            (if (withRestarts) RestartFaults(simulation).faults else emptyList())

    /** Injects two or three random faults together, [count] times and [everyMs] apart. */
    fun inject(
        count: Int,
        everyMs: Long,
    ) = repeat(count) { i ->
        clock.after(i * everyMs) {
            faults.shuffled(random).take(2 + random.nextInt(2)).forEach { fault ->
                clock.after(random.nextLong(MAX_START_SPREAD_MS)) { fault() }
            }
        }
    }

    private companion object {
        /** Faults drawn together begin within this time. */
        const val MAX_START_SPREAD_MS = 2_000L
    }
}
