package ledgearch.world

/** The cloud: how machines come and go. */
internal class CloudSteps(
    world: World,
) : StepFamily(world) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "boot" to ::boot,
            "cloud-down" to { world.cloud.down = true },
            "cloud-up" to { world.cloud.down = false },
            "never-boots" to { step -> world.cloud.bootsNever = step.words[1].toInt() },
            "take" to { step -> world.vanish(host(step.words[1])) },
            "take-many" to ::takeFirst,
            "take-last" to ::takeLast,
        )

    /** boot MS: so long machines take to come up. */
    private fun boot(step: Step) {
        world.cloud.bootMs = step.words[1].toLong()
    }

    /** take-many COUNT: the first ones, without a word. */
    private fun takeFirst(step: Step) {
        world.cloud.names
            .take(step.words[1].toInt())
            .forEach(world::vanish)
    }

    private fun takeLast(step: Step) {
        world.cloud.names
            .toList()
            .takeLast(step.words[1].toInt())
            .forEach(world::vanish)
    }
}
