package ledgearch.simulation

/** The cloud: how machines come and go. */
internal class CloudSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "boot" to ::boot,
            "cloud-down" to { simulation.cloud.down = true },
            "cloud-up" to { simulation.cloud.down = false },
            "never-boots" to { step -> simulation.cloud.bootsNever = step.words[1].toInt() },
            "take" to { step -> simulation.vanish(host(step.words[1])) },
            "take-many" to ::takeFirst,
            "take-last" to ::takeLast,
        )

    /** boot MS: so long machines take to come up. */
    private fun boot(step: Step) {
        simulation.cloud.bootMs = step.words[1].toLong()
    }

    /** take-many COUNT: the first ones, without a word. */
    private fun takeFirst(step: Step) {
        simulation.cloud.names
            .take(step.words[1].toInt())
            .forEach(simulation::vanish)
    }

    private fun takeLast(step: Step) {
        simulation.cloud.names
            .toList()
            .takeLast(step.words[1].toInt())
            .forEach(simulation::vanish)
    }
}
