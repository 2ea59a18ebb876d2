package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Steps that crash, start, freeze and slow down controllers. */
internal class ControllerSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "crash" to { step -> node(step.words[1]).crash() },
            "crash-all" to { simulation.nodes.forEach { it.crash() } },
            "start" to ::start,
            "start-all" to { startAll() },
            "restart-node" to ::restart,
            "freeze" to { step -> node(step.words[1]).freeze(step.parseMs(3)) },
            "slow-node" to ::slowDown,
        )

    /** `slow-node NODE|all MS until S`: makes each command take so long that later ones queue up. */
    private fun slowDown(step: Step) {
        val nodes = if (step.words[1] == "all") simulation.nodes else listOf(node(step.words[1]))
        nodes.forEach { it.slowDown(step.words[2].toLong(), step.parseMs(4)) }
    }

    private fun start(step: Step) {
        simulation.nodes.first { it.name == step.words[1] }.start()
    }

    private fun startAll() {
        simulation.nodes.forEach { if (!it.isUp) it.start() }
    }

    /** `restart-node NODE after S`: crashes the process and starts it again after the delay. */
    private fun restart(step: Step) {
        val node = node(step.words[1])
        node.crash()
        simulation.clock.after(step.parseMs(3)) { if (!node.isUp) node.start() }
    }
}
