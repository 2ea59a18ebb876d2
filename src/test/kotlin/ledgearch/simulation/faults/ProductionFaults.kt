package ledgearch.simulation.faults

import ledgearch.simulation.SimulatedNode
import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.leader

/** Faults that show at production size: slow processes, messages late by seconds, and many machines at once. */
internal class ProductionFaults(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val random get() = simulation.random

    private fun seconds(
        from: Int,
        to: Int,
    ) = (from * 1000 + random.nextInt((to - from) * 1000)).toLong()

    private fun leader() = simulation.nodes.firstOrNull { it.name == leader(simulation) } ?: simulation.nodes.first()

    private fun machines(most: Int): List<String> {
        val all = simulation.workers.keys.toList()
        return all.shuffled(random).take(1 + random.nextInt(most))
    }

    private fun restart(
        node: SimulatedNode,
        afterMs: Long,
    ) {
        node.crash()
        clock.after(afterMs) { if (!node.isUp) node.start() }
    }

    private fun slowLeader() =
        leader().delayBatches(
            BATCH_FROM_MS + random.nextLong(BATCH_SPREAD_MS),
            clock.now + seconds(5, 40),
        )

    private fun slowAllInElection() {
        val batchMs = BATCH_FROM_MS + random.nextLong(BATCH_SPREAD_MS)
        val until = clock.now + seconds(10, 40)
        simulation.nodes.forEach { it.delayBatches(batchMs, until) }
        clock.after(random.nextLong(CLOSE_MS)) { restart(leader(), seconds(0, 3)) }
    }

    private fun slowFollower() {
        val follower = simulation.nodes.first { it !== leader() }
        follower.delayBatches(BATCH_FROM_MS + random.nextLong(FOLLOWER_SPREAD_MS), clock.now + seconds(5, 40))
    }

    private fun delayCommands() {
        simulation.network.lateCommandShare = 0.3
        clock.after(seconds(5, 30)) { simulation.network.lateCommandShare = 0.0 }
    }

    private fun compactHistory() {
        simulation.store.compact()
        simulation.store.faults.loseWatchReplies(
            simulation.nodes[random.nextInt(simulation.nodes.size)].name,
            clock.now + seconds(2, 10),
        )
    }

    /** Nothing reaches them, though their heartbeats arrive. */
    private fun makeUnreachable(count: Int) {
        val until = clock.now + seconds(5, 40)
        machines(count).forEach {
            simulation.network.partition("nodes", it, until, hold = false, oneWay = true)
        }
    }

    private fun hang(count: Int) {
        val names = machines(count)
        names.forEach { simulation.workers[it]?.isHanging = true }
        clock.after(seconds(2, 40)) { names.forEach { simulation.workers[it]?.isHanging = false } }
    }

    /** They stay in the list as running for a while, then as failed. */
    private fun endMachines(count: Int) =
        machines(count).forEach {
            simulation.workers.getValue(it).isAlive = false
            simulation.cloud.markFailedLater(it)
        }

    private fun failStarts(count: Int) {
        val workers = machines(count).mapNotNull { simulation.workers[it] }
        workers.forEach { it.failsStarts = true }
        clock.after(seconds(10, 40)) { workers.forEach { it.failsStarts = false } }
    }

    private fun takeBackWithNotice(count: Int) =
        machines(count).mapNotNull { simulation.workers[it] }.filter { it.spot }.forEach { worker ->
            val noticeMs = seconds(5, 30)
            worker.preemptionAtMs = clock.now + noticeMs
            clock.after(noticeMs) { simulation.reclaim(worker.name) }
        }

    private fun lagLists() {
        simulation.cloud.listLagMs = seconds(3, 6)
        simulation.cloud.isDown = true
        clock.after(seconds(3, 20)) { simulation.cloud.isDown = false }
        clock.after(seconds(30, 60)) { simulation.cloud.listLagMs = 0L }
    }

    private fun restartWithinASecond() =
        repeat(RESTARTS) { i ->
            clock.after(i * RESTART_EVERY_MS) {
                restart(leader(), random.nextLong(900))
            }
        }

    private fun endWithLateTransactions() {
        simulation.store.faults.lateExecutionShare = 0.5
        clock.after(random.nextLong(CLOSE_MS)) { restart(leader(), random.nextLong(900)) }
        clock.after(seconds(5, 15)) { simulation.store.faults.lateExecutionShare = 0.0 }
    }

    private fun cancelAtEnds() {
        simulation.users.cancelAtEndShare = 0.3
        clock.after(seconds(5, 20)) { simulation.users.cancelAtEndShare = 0.0 }
    }

    private fun cancelManyNeeded() =
        simulation.users.cancelDependencies(5 + random.nextInt(10), Users.LONG_RETRY_FOR_MS)

    private fun cutZoneBothWays() =
        simulation.network.partition(
            "zone-" + if (random.nextBoolean()) "a" else "b",
            "all",
            clock.now + seconds(10, 50),
            hold = random.nextBoolean(),
        )

    val all: List<() -> Unit> =
        listOf(
            ::slowLeader,
            ::slowAllInElection,
            ::slowFollower,
            ::delayCommands,
            ::compactHistory,
            { makeUnreachable(MANY) },
            { hang(MANY) },
            { simulation.heartbeats.lose(machines(MANY), clock.now + seconds(5, 40)) },
            { endMachines(MANY / 2) },
            { failStarts(MANY / 2) },
            { takeBackWithNotice(MANY) },
            ::lagLists,
            ::restartWithinASecond,
            ::endWithLateTransactions,
            ::cancelAtEnds,
            ::cancelManyNeeded,
            ::cutZoneBothWays,
        ) + ContestedRenewals(simulation).all

    private companion object {
        const val MANY = 60
        const val CLOSE_MS = 2_000L
        const val RESTARTS = 3
        const val RESTART_EVERY_MS = 4_000L

        /** ms. How late a slow controller works off what has come. */
        const val BATCH_FROM_MS = 100L
        const val BATCH_SPREAD_MS = 1_500L
        const val FOLLOWER_SPREAD_MS = 8_000L
    }
}
