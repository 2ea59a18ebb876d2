package ledgearch.simulation.faults

import ledgearch.simulation.SimulatedNode
import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.leaderName

/** Faults of production size: slow processes, messages late by seconds, and faults of many machines at once. */
internal class ProductionFaults(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val random get() = simulation.random

    private fun randomMs(
        fromS: Int,
        toS: Int,
    ) = (fromS * 1000 + random.nextInt((toS - fromS) * 1000)).toLong()

    private fun leaderNode() =
        simulation.nodes.firstOrNull { it.name == leaderName(simulation) } ?: simulation.nodes.first()

    private fun randomMachines(maxCount: Int): List<String> {
        val names = simulation.workers.keys.toList()
        return names.shuffled(random).take(1 + random.nextInt(maxCount))
    }

    private fun restart(
        node: SimulatedNode,
        delayMs: Long,
    ) {
        node.crash()
        clock.after(delayMs) { if (!node.isUp) node.start() }
    }

    private fun slowDownLeader() =
        leaderNode().delayBatches(
            MIN_BATCH_DELAY_MS + random.nextLong(BATCH_DELAY_SPREAD_MS),
            clock.nowMs + randomMs(5, 40),
        )

    private fun slowDownAllInElection() {
        val batchDelayMs = MIN_BATCH_DELAY_MS + random.nextLong(BATCH_DELAY_SPREAD_MS)
        val untilMs = clock.nowMs + randomMs(10, 40)
        simulation.nodes.forEach { it.delayBatches(batchDelayMs, untilMs) }
        clock.after(random.nextLong(MAX_START_SPREAD_MS)) { restart(leaderNode(), randomMs(0, 3)) }
    }

    private fun slowDownFollower() {
        val follower = simulation.nodes.first { it !== leaderNode() }
        follower.delayBatches(
            MIN_BATCH_DELAY_MS + random.nextLong(FOLLOWER_DELAY_SPREAD_MS),
            clock.nowMs + randomMs(5, 40),
        )
    }

    private fun delayCommands() {
        simulation.network.lateCommandShare = 0.3
        clock.after(randomMs(5, 30)) { simulation.network.lateCommandShare = 0.0 }
    }

    private fun compactHistory() {
        simulation.store.compact()
        simulation.store.faults.loseWatchReplies(
            simulation.nodes[random.nextInt(simulation.nodes.size)].name,
            clock.nowMs + randomMs(2, 10),
        )
    }

    /** Loses all messages to the machines. Their heartbeats arrive. */
    private fun makeUnreachable(maxCount: Int) {
        val untilMs = clock.nowMs + randomMs(5, 40)
        randomMachines(maxCount).forEach {
            simulation.network.partition("nodes", it, untilMs, hold = false, oneWay = true)
        }
    }

    private fun hang(maxCount: Int) {
        val names = randomMachines(maxCount)
        val durationMs = randomMs(2, 40)
        names.forEach { simulation.hang(it, durationMs) }
    }

    /** Ends machines that the cloud lists as running for a while, then as failed. */
    private fun failMachines(maxCount: Int) =
        randomMachines(maxCount).forEach {
            simulation.workers.getValue(it).isAlive = false
            simulation.cloud.markFailedLater(it)
        }

    private fun failStarts(maxCount: Int) {
        val workers = randomMachines(maxCount).mapNotNull { simulation.workers[it] }
        workers.forEach { it.failsStarts = true }
        clock.after(randomMs(10, 40)) { workers.forEach { it.failsStarts = false } }
    }

    private fun preemptWithNotice(maxCount: Int) =
        randomMachines(maxCount).mapNotNull { simulation.workers[it] }.filter { it.spot }.forEach { worker ->
            val noticeMs = randomMs(5, 30)
            worker.preemptionAtMs = clock.nowMs + noticeMs
            clock.after(noticeMs) { simulation.reclaim(worker.name) }
        }

    private fun delayMachineLists() {
        simulation.cloud.listLagMs = randomMs(3, 6)
        simulation.cloud.isDown = true
        clock.after(randomMs(3, 20)) { simulation.cloud.isDown = false }
        clock.after(randomMs(30, 60)) { simulation.cloud.listLagMs = 0L }
    }

    private fun restartLeaderRepeatedly() =
        repeat(RESTARTS) { i ->
            clock.after(i * RESTART_INTERVAL_MS) {
                restart(leaderNode(), random.nextLong(900))
            }
        }

    private fun restartLeaderWithLateTransactions() {
        simulation.store.faults.lateWriteShare = 0.5
        clock.after(random.nextLong(MAX_START_SPREAD_MS)) { restart(leaderNode(), random.nextLong(900)) }
        clock.after(randomMs(5, 15)) { simulation.store.faults.lateWriteShare = 0.0 }
    }

    private fun cancelEndingJobs() {
        simulation.users.cancelAtEndShare = 0.3
        clock.after(randomMs(5, 20)) { simulation.users.cancelAtEndShare = 0.0 }
    }

    private fun cancelManyDependencies() =
        simulation.users.cancelDependencies(5 + random.nextInt(10), Users.LONG_RETRY_FOR_MS)

    private fun partitionZoneFromAll() =
        simulation.network.partition(
            "zone-" + if (random.nextBoolean()) "a" else "b",
            "all",
            clock.nowMs + randomMs(10, 50),
            hold = random.nextBoolean(),
        )

    val faults: List<() -> Unit> =
        listOf(
            ::slowDownLeader,
            ::slowDownAllInElection,
            ::slowDownFollower,
            ::delayCommands,
            ::compactHistory,
            { makeUnreachable(MAX_MACHINES) },
            { hang(MAX_MACHINES) },
            { simulation.heartbeats.lose(randomMachines(MAX_MACHINES), clock.nowMs + randomMs(5, 40)) },
            { failMachines(MAX_MACHINES / 2) },
            { failStarts(MAX_MACHINES / 2) },
            { preemptWithNotice(MAX_MACHINES) },
            ::delayMachineLists,
            ::restartLeaderRepeatedly,
            ::restartLeaderWithLateTransactions,
            ::cancelEndingJobs,
            ::cancelManyDependencies,
            ::partitionZoneFromAll,
        ) + ContestedRenewals(simulation).faults

    private companion object {
        const val MAX_MACHINES = 60
        const val MAX_START_SPREAD_MS = 2_000L
        const val RESTARTS = 3
        const val RESTART_INTERVAL_MS = 4_000L
        const val MIN_BATCH_DELAY_MS = 100L
        const val BATCH_DELAY_SPREAD_MS = 1_500L
        const val FOLLOWER_DELAY_SPREAD_MS = 8_000L
    }
}
