package ledgearch.simulation.faults

import ledgearch.simulation.Simulation
import ledgearch.simulation.Users
import ledgearch.simulation.invariants.Milestones
import ledgearch.simulation.leaderName
import ledgearch.simulation.parseJobSpec
import ledgearch.simulation.scenarios.ProductionWorkload

/**
 * Contests renewals of the leadership token: a leader renews over a slow link while another controller claims
 * leadership, and users submit and cancel jobs through the other controllers. Each controller reaches only some of the
 * machines, so that the leaders choose different machines for the same job.
 */
internal class ContestedRenewals(
    private val simulation: Simulation,
) {
    private val clock get() = simulation.clock
    private val random get() = simulation.random
    private var lastNumber = FIRST_NUMBER

    private fun leaderNode() =
        simulation.nodes.firstOrNull { it.name == leaderName(simulation) } ?: simulation.nodes.first()

    private fun randomBetweenMs(
        fromMs: Long,
        toMs: Long,
    ) = fromMs + random.nextLong(toMs - fromMs)

    /** Makes the leader refuse connections of its peers, without any other fault. */
    fun refuseConnections() {
        val leader = leaderNode()
        leader.refusesConnections = true
        clock.after(randomBetweenMs(MIN_REFUSAL_MS, MAX_REFUSAL_MS)) { leader.refusesConnections = false }
    }

    /** Delays the leader's requests to the state service, but not the replies and the watch. */
    fun slowRequestsToState() {
        val untilMs = clock.nowMs + randomBetweenMs(MIN_SLOW_MS, MAX_SLOW_MS)
        val delayMs = randomBetweenMs(MIN_REQUEST_DELAY_MS, MAX_REQUEST_DELAY_MS)
        simulation.network.slowDown(leaderNode().name, "state", untilMs, delayMs, oneWay = true)
    }

    /** Loses direct commands to some machines. The leader renews its token once they are overdue. */
    fun loseCommands() {
        val untilMs = clock.nowMs + randomBetweenMs(MIN_COMMAND_LOSS_MS, MAX_COMMAND_LOSS_MS)
        randomMachines().forEach { simulation.network.partition("nodes", it, untilMs, hold = false, oneWay = true) }
    }

    /** Partitions each controller from some random machines. */
    fun partitionMachines() =
        simulation.nodes.forEach { node ->
            val untilMs = clock.nowMs + randomBetweenMs(MIN_PARTITION_MS, MAX_PARTITION_MS)
            randomMachines().forEach { simulation.network.partition(node.name, it, untilMs, hold = false) }
        }

    /** Submits jobs of one task through the other controllers, and cancels some of them there. */
    fun submitThroughOthers() {
        val others = simulation.nodes.filter { it !== leaderNode() }.map { it.name }
        var delayMs = 0L
        while (delayMs < SUBMISSION_DURATION_MS) {
            val node = others[random.nextInt(others.size)]
            clock.after(delayMs) { submitThrough(node) }
            delayMs += randomBetweenMs(MIN_SUBMISSION_INTERVAL_MS, MAX_SUBMISSION_INTERVAL_MS)
        }
    }

    /** Injects all of these faults, timed so that the renewal and the claim are likely to overlap. */
    fun contest() {
        loseCommands()
        submitThroughOthers()
        clock.after(randomBetweenMs(MAX_COMMAND_LOSS_MS, COMMAND_OVERDUE_MS)) { partitionMachines() }
        clock.after(randomBetweenMs(MAX_COMMAND_LOSS_MS, COMMAND_OVERDUE_MS)) { slowRequestsToState() }
        clock.after(
            randomBetweenMs(COMMAND_OVERDUE_MS - MAX_COMMAND_LOSS_MS, COMMAND_OVERDUE_MS + MAX_COMMAND_LOSS_MS),
        ) {
            refuseConnections()
        }
    }

    val faults: List<() -> Unit> =
        listOf(
            ::refuseConnections,
            ::slowRequestsToState,
            ::partitionMachines,
            ::submitThroughOthers,
            ::contest,
        )

    private fun randomMachines(): List<String> {
        val machines = simulation.workers.keys.shuffled(random)
        return machines.take(random.nextInt(machines.size / 2 + 1))
    }

    private fun submitThrough(node: String) {
        val job = "job-${++lastNumber}"
        val team = if (random.nextBoolean()) "red" else "blue"
        val words = listOf(job, "team=$team", "tasks=1", "cpus=1", "run=20", "priority=prod")
        simulation.users.submit(parseJobSpec(words), node)
        if (random.nextInt(CANCEL_ONE_IN) == 0) cancelOnceAccepted(job, node)
    }

    private fun cancelOnceAccepted(
        job: String,
        node: String,
    ) = simulation.invariants.milestones.await(job, Milestones.Kind.ACCEPTED) {
        clock.after(random.nextLong(CANCEL_SPREAD_MS)) {
            simulation.users.cancel(job, node, Users.LONG_RETRY_FOR_MS)
        }
    }

    private companion object {
        /** Above the job numbers of [ProductionWorkload]. */
        const val FIRST_NUMBER = 1_000_000

        const val MIN_REFUSAL_MS = 500L
        const val MAX_REFUSAL_MS = 2_000L
        const val MIN_SLOW_MS = 3_000L
        const val MAX_SLOW_MS = 8_000L
        const val MIN_REQUEST_DELAY_MS = 200L
        const val MAX_REQUEST_DELAY_MS = 900L
        const val MIN_COMMAND_LOSS_MS = 200L
        const val MAX_COMMAND_LOSS_MS = 1_000L
        const val MIN_PARTITION_MS = 5_000L
        const val MAX_PARTITION_MS = 30_000L
        const val SUBMISSION_DURATION_MS = 6_000L
        const val MIN_SUBMISSION_INTERVAL_MS = 50L
        const val MAX_SUBMISSION_INTERVAL_MS = 400L
        const val CANCEL_ONE_IN = 3
        const val CANCEL_SPREAD_MS = 1_000L

        /** Time after which a lost direct command leads to a new token, once its machine is reachable again. */
        const val COMMAND_OVERDUE_MS = 2_300L
    }
}
