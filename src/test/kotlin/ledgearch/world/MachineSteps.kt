package ledgearch.world

/** Machines and their workers. */
internal class MachineSteps(
    world: World,
) : StepFamily(world) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "hang" to { step -> world.workers[host(step.words[1])]?.hanging = true },
            "hang-many" to ::hangMany,
            "resume" to { step -> world.workers[host(step.words[1])]?.hanging = false },
            "sick" to { step -> worker(step).sick = true },
            "restart" to { step -> worker(step).restart() },
            "notice" to ::notice,
            "die" to ::die,
        )

    private fun worker(step: Step) = world.workers.getValue(host(step.words[1]))

    /** hang-many COUNT until S: the first ones, then they go on. */
    private fun hangMany(step: Step) {
        val hosts = world.cloud.names.take(step.words[1].toInt())
        hosts.mapNotNull { world.workers[it] }.forEach { worker ->
            worker.hanging = true
            world.clock.at(step.milliseconds(3)) { worker.hanging = false }
        }
    }

    private fun notice(step: Step) {
        worker(step).recallAt = world.clock.now + step.milliseconds(2)
    }

    private fun die(step: Step) {
        val host = host(step.words[1])
        world.workers.getValue(host).alive = false
        world.cloud.died(host)
    }
}
