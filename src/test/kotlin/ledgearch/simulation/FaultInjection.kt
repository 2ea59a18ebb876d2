package ledgearch.simulation

/**
 * Faults drawn two or three together, so that those meet which no list has side by side. All are over a while after
 * the last draw.
 */
internal class FaultInjection(
    private val simulation: Simulation,
    withChains: Boolean = false,
    atProductionSize: Boolean = false,
) {
    /** ms. So long a cancellation that is not answered is repeated. */
    private val patienceMs = if (atProductionSize) Users.LONG_PATIENCE_MS else Users.PATIENCE_MS

    private val clock get() = simulation.clock
    private val random get() = simulation.random

    private fun leader() = simulation.state.field("w/g/0", "node") ?: simulation.nodes.first().name

    private fun machine() =
        simulation.cloud.names
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
        val m = simulation.workers[name] ?: return
        m.hanging = true
        clock.after(ms) { m.hanging = false }
    }

    private fun back(
        node: Simulation.Node,
        after: Long,
    ) {
        node.crash()
        clock.after(after) { if (!node.up) node.start() }
    }

    private fun out(ms: Long) {
        if (simulation.state.down) return
        simulation.state.outage(true)
        clock.after(ms) { simulation.state.outage(false) }
    }

    private fun during(
        ms: Long,
        begin: () -> Unit,
        end: () -> Unit,
    ) {
        begin()
        clock.after(ms, end)
    }

    private val all: List<() -> Unit> =
        listOf(
            { simulation.state.refuse(leader(), until(4, 20)) },
            { clock.after(random.nextLong(3_000)) { out(seconds(5, 50)) } },
            { during(seconds(5, 20), { simulation.state.lateShare = 0.3 }, { simulation.state.lateShare = 0.0 }) },
            {
                during(seconds(5, 20), { simulation.state.unansweredShare = 0.5 }, {
                    simulation.state.unansweredShare =
                        0.0
                })
            },
            { during(seconds(5, 20), { simulation.state.slowMs = seconds(1, 4) }, { simulation.state.slowMs = 0 }) },
            { back(simulation.nodes.first { it.name == leader() }, seconds(0, 6)) },
            { simulation.nodes.forEach { back(it, seconds(0, 4)) } },
            {
                repeat(
                    4,
                ) { i -> clock.after(i * 6_000L) { back(simulation.nodes.first { it.name == leader() }, 200L) } }
            },
            { simulation.nodes.first { it.name == leader() }.freeze(until(1, 12)) },
            { machines(6).forEach { hang(it, seconds(2, 40)) } },
            { simulation.users.cancelNow(1 + random.nextInt(4), seconds(3, 30), patienceMs) },
            { simulation.users.cancelNow(1 + random.nextInt(4), 0, patienceMs) },
            {
                machines(
                    6,
                ).forEach { simulation.cut("nodes", it, until(5, 40), hold = random.nextBoolean(), oneWay = true) }
            },
            { simulation.mute(machines(6), until(5, 40)) },
            { machines(4).forEach(simulation::vanish) },
            {
                machines(
                    6,
                ).forEach { simulation.slow("nodes", it, until(5, 20), seconds(1, 6), oneWay = random.nextBoolean()) }
            },
            {
                simulation.cut(
                    "zone-" + if (random.nextBoolean()) "a" else "b",
                    "nodes",
                    until(5, 40),
                    hold = random.nextBoolean(),
                )
            },
            {
                val end = until(5, 40)
                val cutOff = leader()
                for (other in listOf("state") + simulation.nodes.map { it.name }) {
                    if (other !=
                        cutOff
                    ) {
                        simulation.cut(cutOff, other, end, hold = random.nextBoolean())
                    }
                }
            },
            { simulation.cut(leader(), "workers", until(5, 30), hold = random.nextBoolean()) },
            { during(seconds(5, 25), { simulation.cloud.down = true }, { simulation.cloud.down = false }) },
            { during(seconds(10, 40), { simulation.keptShare = 0.3 }, { simulation.keptShare = 0.0 }) },
        )

    /** Of jobs that others need. */
    private val ofChains: List<() -> Unit> =
        listOf(
            { simulation.users.cancelNeeded(1 + random.nextInt(3), patienceMs) },
            { simulation.users.cancelNeeded(1 + random.nextInt(3), patienceMs) },
            {
                simulation.users.cancelNeeded(1 + random.nextInt(3), patienceMs)
                clock.after(
                    random.nextLong(1_000),
                ) { back(simulation.nodes.first { it.name == leader() }, seconds(0, 4)) }
            },
            {
                simulation.users.cancelNeeded(1 + random.nextInt(3), patienceMs)
                clock.after(random.nextLong(1_000)) { out(seconds(5, 50)) }
            },
        )

    private val drawn =
        all + (if (withChains) ofChains else emptyList()) +
            (if (atProductionSize) ProductionFaults(simulation).all else emptyList())

    /** [count] times, [everyMs] apart. */
    fun draw(
        count: Int,
        everyMs: Long,
    ) = repeat(count) { i ->
        clock.after(i * everyMs) {
            drawn.shuffled(random).take(2 + random.nextInt(2)).forEach { trouble ->
                clock.after(random.nextLong(CLOSE_MS)) { trouble() }
            }
        }
    }

    private companion object {
        /** ms. Those drawn together begin within so long of each other. */
        const val CLOSE_MS = 2_000L
    }
}
