package ledgearch.simulation.faults

import ledgearch.simulation.SimulatedNode
import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.store.FakeStore

/**
 * Draws faults, two or three together, so that those coincide which no scenario combines by hand. All are over a while
 * after the last draw.
 */
internal class FaultInjection(
    private val simulation: Simulation,
    withChains: Boolean = false,
    atProductionSize: Boolean = false,
) {
    /** ms. So long a cancellation that is not answered is repeated. */
    private val retryForMs = if (atProductionSize) Users.LONG_RETRY_FOR_MS else Users.RETRY_FOR_MS

    private val clock get() = simulation.clock
    private val random get() = simulation.random

    private fun leader() = simulation.store.field(FakeStore.LEADERSHIP_KEY, "node") ?: simulation.nodes.first().name

    private fun machine() =
        simulation.cloud.machineNames
            .filter { it in simulation.workers }
            .let { if (it.isEmpty()) "nowhere" else it[random.nextInt(it.size)] }

    private fun machines(most: Int) = List(1 + random.nextInt(most)) { machine() }.distinct()

    private fun seconds(
        from: Int,
        to: Int,
    ) = (from * 1000 + random.nextInt((to - from) * 1000)).toLong()

    private fun until(
        from: Int,
        to: Int,
    ) = clock.now + seconds(from, to)

    private fun hang(
        name: String,
        ms: Long,
    ) {
        val worker = simulation.workers[name] ?: return
        worker.isHanging = true
        clock.after(ms) { worker.isHanging = false }
    }

    private fun leaderNode() = simulation.nodes.first { it.name == leader() }

    private fun restart(
        node: SimulatedNode,
        afterMs: Long,
    ) {
        node.crash()
        clock.after(afterMs) { if (!node.isUp) node.start() }
    }

    private fun storeOutage(ms: Long) {
        if (simulation.store.isDown) return
        simulation.store.beginOutage()
        clock.after(ms) { simulation.store.endOutage() }
    }

    private fun during(
        ms: Long,
        begin: () -> Unit,
        end: () -> Unit,
    ) {
        begin()
        clock.after(ms, end)
    }

    private val clusterFaults: List<() -> Unit> =
        listOf(
            { simulation.store.refuse(leader(), until(4, 20)) },
            { clock.after(random.nextLong(3_000)) { storeOutage(seconds(5, 50)) } },
            ::executeWritesLate,
            ::loseAnswersToWrites,
            ::slowWrites,
            { restart(leaderNode(), seconds(0, 6)) },
            { simulation.nodes.forEach { restart(it, seconds(0, 4)) } },
            { repeat(4) { i -> clock.after(i * 6_000L) { restart(leaderNode(), 200L) } } },
            { leaderNode().freeze(until(1, 12)) },
            { machines(6).forEach { hang(it, seconds(2, 40)) } },
            { simulation.users.cancelRunning(1 + random.nextInt(4), seconds(3, 30), retryForMs) },
            { simulation.users.cancelRunning(1 + random.nextInt(4), 0, retryForMs) },
            ::cutOffFromControllers,
            { simulation.heartbeats.lose(machines(6), until(5, 40)) },
            { machines(4).forEach(simulation::reclaim) },
            ::slowLinksToMachines,
            ::cutOffZone,
            ::isolateLeader,
            { simulation.network.partition(leader(), "workers", until(5, 30), hold = random.nextBoolean()) },
            { during(seconds(5, 25), { simulation.cloud.isDown = true }, { simulation.cloud.isDown = false }) },
            ::replayHeartbeats,
        )

    private fun executeWritesLate() {
        val faults = simulation.store.faults
        during(seconds(5, 20), { faults.lateExecutionShare = 0.3 }, { faults.lateExecutionShare = 0.0 })
    }

    private fun loseAnswersToWrites() {
        val faults = simulation.store.faults
        during(seconds(5, 20), { faults.lostReplyShare = 0.5 }, { faults.lostReplyShare = 0.0 })
    }

    private fun slowWrites() {
        val faults = simulation.store.faults
        during(seconds(5, 20), { faults.writeReplyDelayMs = seconds(1, 4) }, { faults.writeReplyDelayMs = 0 })
    }

    private fun cutOffFromControllers() =
        machines(6).forEach {
            simulation.network.partition("nodes", it, until(5, 40), hold = random.nextBoolean(), oneWay = true)
        }

    private fun slowLinksToMachines() =
        machines(6).forEach {
            simulation.network.slowDown("nodes", it, until(5, 20), seconds(1, 6), oneWay = random.nextBoolean())
        }

    private fun cutOffZone() {
        val zone = "zone-" + if (random.nextBoolean()) "a" else "b"
        simulation.network.partition(zone, "nodes", until(5, 40), hold = random.nextBoolean())
    }

    /** From the store and all other controllers. */
    private fun isolateLeader() {
        val end = until(5, 40)
        val isolated = leader()
        for (other in listOf("state") + simulation.nodes.map { it.name }) {
            if (other != isolated) {
                simulation.network.partition(isolated, other, end, hold = random.nextBoolean())
            }
        }
    }

    private fun replayHeartbeats() {
        val heartbeats = simulation.heartbeats
        during(seconds(10, 40), { heartbeats.replayShare = 0.3 }, { heartbeats.replayShare = 0.0 })
    }

    /** Cancellations of jobs that others need. */
    private val chainFaults: List<() -> Unit> =
        listOf(
            ::cancelNeeded,
            ::cancelNeeded,
            {
                cancelNeeded()
                clock.after(random.nextLong(1_000)) { restart(leaderNode(), seconds(0, 4)) }
            },
            {
                cancelNeeded()
                clock.after(random.nextLong(1_000)) { storeOutage(seconds(5, 50)) }
            },
        )

    private fun cancelNeeded() = simulation.users.cancelDependencies(1 + random.nextInt(3), retryForMs)

    private val drawn =
        clusterFaults + (if (withChains) chainFaults else emptyList()) +
            (if (atProductionSize) ProductionFaults(simulation).all else emptyList())

    /** [count] times, [everyMs] apart. */
    fun draw(
        count: Int,
        everyMs: Long,
    ) = repeat(count) { i ->
        clock.after(i * everyMs) {
            drawn.shuffled(random).take(2 + random.nextInt(2)).forEach { fault ->
                clock.after(random.nextLong(CLOSE_MS)) { fault() }
            }
        }
    }

    private companion object {
        /** ms. Those drawn together begin within so long of each other. */
        const val CLOSE_MS = 2_000L
    }
}
