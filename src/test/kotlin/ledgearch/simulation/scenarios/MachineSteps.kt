package ledgearch.simulation.scenarios

import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation

/** Machines and their workers. */
internal class MachineSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "hang" to { step -> simulation.workers[host(step.words[1])]?.hanging = true },
            "hang-first" to ::hangFirst,
            "resume" to { step -> simulation.workers[host(step.words[1])]?.hanging = false },
            "fail-starts" to { step -> worker(step).failsStarts = true },
            "restart-machine" to { step -> worker(step).restart() },
            "preemption-notice" to ::announcePreemption,
            "fail-machine" to ::failMachine,
            "plant-hidden" to { step -> plant(step) { worker, attempt -> worker.hidden.add(attempt) } },
            "plant-falsely-done" to { step -> plant(step) { worker, attempt -> worker.falselyDone.add(attempt) } },
        )

    private fun worker(step: Step) = simulation.workers.getValue(host(step.words[1]))

    /** hang-first COUNT until S: the first ones, then they go on. */
    private fun hangFirst(step: Step) {
        val hosts = simulation.cloud.names.take(step.words[1].toInt())
        hosts.mapNotNull { simulation.workers[it] }.forEach { worker ->
            worker.hanging = true
            simulation.clock.at(step.milliseconds(3)) { worker.hanging = false }
        }
    }

    /** plant-... TASK: a defect of the worker that has the task, to see that the checks notice it. */
    private fun plant(
        step: Step,
        defect: (FakeWorker, Long) -> Unit,
    ) {
        val taskId = step.words[1]
        val worker = simulation.workers.getValue(host("@$taskId"))
        worker.tasks.values
            .filter { it.taskId == taskId }
            .forEach { defect(worker, it.attempt) }
    }

    /** preemption-notice MACHINE S: the cloud takes it back so much later. */
    private fun announcePreemption(step: Step) {
        worker(step).preemptionAt = simulation.clock.now + step.milliseconds(2)
    }

    /** fail-machine MACHINE: it ends; the cloud knows of it half a minute later. */
    private fun failMachine(step: Step) {
        val host = host(step.words[1])
        simulation.workers.getValue(host).alive = false
        simulation.cloud.died(host)
    }
}
