package ledgearch.simulation

/** Machines and their workers. */
internal class MachineSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "hang" to { step -> simulation.workers[host(step.words[1])]?.hanging = true },
            "hang-many" to ::hangMany,
            "resume" to { step -> simulation.workers[host(step.words[1])]?.hanging = false },
            "sick" to { step -> worker(step).sick = true },
            "restart" to { step -> worker(step).restart() },
            "notice" to ::notice,
            "die" to ::die,
            "plant-hidden" to { step -> plant(step) { worker, attempt -> worker.hidden.add(attempt) } },
            "plant-falsely-done" to { step -> plant(step) { worker, attempt -> worker.falselyDone.add(attempt) } },
        )

    private fun worker(step: Step) = simulation.workers.getValue(host(step.words[1]))

    /** hang-many COUNT until S: the first ones, then they go on. */
    private fun hangMany(step: Step) {
        val hosts = simulation.cloud.names.take(step.words[1].toInt())
        hosts.mapNotNull { simulation.workers[it] }.forEach { worker ->
            worker.hanging = true
            simulation.clock.at(step.milliseconds(3)) { worker.hanging = false }
        }
    }

    /** plant-... TASK: a defect of the worker that has the task, to see that the checks notice it. */
    private fun plant(
        step: Step,
        defect: (WorkerStandIn, Long) -> Unit,
    ) {
        val taskId = step.words[1]
        val worker = simulation.workers.getValue(host("@$taskId"))
        worker.tasks.values
            .filter { it.taskId == taskId }
            .forEach { defect(worker, it.attempt) }
    }

    private fun notice(step: Step) {
        worker(step).preemptionAt = simulation.clock.now + step.milliseconds(2)
    }

    private fun die(step: Step) {
        val host = host(step.words[1])
        simulation.workers.getValue(host).alive = false
        simulation.cloud.died(host)
    }
}
