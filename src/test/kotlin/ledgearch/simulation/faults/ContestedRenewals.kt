package ledgearch.simulation.faults

import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.invariants.Milestones
import ledgearch.simulation.jobSpecOf
import ledgearch.simulation.leader
import ledgearch.simulation.scenarios.ProductionWorkload

/**
 * A leader renews its token over a slow link while another controller claims leadership, and users submit and cancel
 * jobs through the other controllers in those seconds. Each machine is reached by some controllers only, so that the
 * leaders choose different machines for the same job.
 */
internal class ContestedRenewals(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val random get() = simulation.random
    private var lastNumber = FIRST_NUMBER

    private fun leader() = simulation.nodes.firstOrNull { it.name == leader(simulation) } ?: simulation.nodes.first()

    private fun between(
        fromMs: Long,
        toMs: Long,
    ) = fromMs + random.nextLong(toMs - fromMs)

    /** The leader is well but refuses connections of its peers. */
    fun refuseConnections() {
        val leader = leader()
        leader.refusesConnections = true
        clock.after(between(REFUSED_FROM_MS, REFUSED_TO_MS)) { leader.refusesConnections = false }
    }

    /** Requests of the leader to the state service are late; answers and the watch are not. */
    fun slowRequestsToState() {
        val until = clock.now + between(SLOW_FROM_MS, SLOW_TO_MS)
        val delayMs = between(LATE_FROM_MS, LATE_TO_MS)
        simulation.network.slowDown(leader().name, "state", until, delayMs, oneWay = true)
    }

    /** Direct commands to some machines are lost: the leader renews its token once they are overdue. */
    fun loseCommands() {
        val until = clock.now + between(LOST_FROM_MS, LOST_TO_MS)
        someMachines().forEach {
            simulation.network.partition("nodes", it, until, hold = false, oneWay = true)
        }
    }

    /** Each controller is cut off from its own share of the machines. */
    fun divideMachines() =
        simulation.nodes.forEach { node ->
            val until = clock.now + between(DIVIDED_FROM_MS, DIVIDED_TO_MS)
            someMachines().forEach { simulation.network.partition(node.name, it, until, hold = false) }
        }

    /** Jobs of one task are submitted through the other controllers, and some are cancelled there. */
    fun submitThroughOthers() {
        val others = simulation.nodes.filter { it !== leader() }.map { it.name }
        var delayMs = 0L
        while (delayMs < SUBMITTED_FOR_MS) {
            val node = others[random.nextInt(others.size)]
            clock.after(delayMs) { submitThrough(node) }
            delayMs += between(SUBMITTED_EVERY_FROM_MS, SUBMITTED_EVERY_TO_MS)
        }
    }

    /** All of these, timed so that the renewal and the claim are likely to meet. */
    fun contest() {
        loseCommands()
        submitThroughOthers()
        clock.after(between(LOST_TO_MS, OVERDUE_MS)) { divideMachines() }
        clock.after(between(LOST_TO_MS, OVERDUE_MS)) { slowRequestsToState() }
        clock.after(between(OVERDUE_MS - LOST_TO_MS, OVERDUE_MS + LOST_TO_MS)) { refuseConnections() }
    }

    val all: List<() -> Unit> =
        listOf(
            ::refuseConnections,
            ::slowRequestsToState,
            ::divideMachines,
            ::submitThroughOthers,
            ::contest,
        )

    private fun someMachines(): List<String> {
        val machines = simulation.workers.keys.shuffled(random)
        return machines.take(random.nextInt(machines.size / 2 + 1))
    }

    private fun submitThrough(node: String) {
        val job = "job-${++lastNumber}"
        val team = if (random.nextBoolean()) "red" else "blue"
        val words = listOf(job, "team=$team", "tasks=1", "cpus=1", "run=20", "priority=prod")
        simulation.users.submit(jobSpecOf(words), node)
        if (random.nextInt(CANCELLED_ONE_IN) == 0) cancelOnceAccepted(job, node)
    }

    private fun cancelOnceAccepted(
        job: String,
        node: String,
    ) = simulation.invariants.milestones.await(job, Milestones.Kind.ACCEPTED) {
        clock.after(random.nextLong(CANCELLED_WITHIN_MS)) {
            simulation.users.cancel(job, node, Users.LONG_RETRY_FOR_MS)
        }
    }

    private companion object {
        /** Higher than the numbers of the jobs of [ProductionWorkload]. */
        const val FIRST_NUMBER = 1_000_000

        const val REFUSED_FROM_MS = 500L
        const val REFUSED_TO_MS = 2_000L
        const val SLOW_FROM_MS = 3_000L
        const val SLOW_TO_MS = 8_000L
        const val LATE_FROM_MS = 200L
        const val LATE_TO_MS = 900L
        const val LOST_FROM_MS = 200L
        const val LOST_TO_MS = 1_000L
        const val DIVIDED_FROM_MS = 5_000L
        const val DIVIDED_TO_MS = 30_000L
        const val SUBMITTED_FOR_MS = 6_000L
        const val SUBMITTED_EVERY_FROM_MS = 50L
        const val SUBMITTED_EVERY_TO_MS = 400L
        const val CANCELLED_ONE_IN = 3
        const val CANCELLED_WITHIN_MS = 1_000L

        /** ms. After so long a direct command that was lost leads to a new token, once its machine is reached again. */
        const val OVERDUE_MS = 2_300L
    }
}
