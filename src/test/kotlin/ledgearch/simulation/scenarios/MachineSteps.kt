package ledgearch.simulation.scenarios

import ledgearch.simulation.FakeWorker
import ledgearch.simulation.Simulation

/** Steps that hang, restart and end machines and plant defects in their workers. */
internal class MachineSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "hang" to { step -> simulation.workers[machineName(step.words[1])]?.isHanging = true },
            "hang-first" to ::hangFirst,
            "resume" to { step -> simulation.workers[machineName(step.words[1])]?.isHanging = false },
            "fail-starts" to { step -> worker(step).failsStarts = true },
            "repair" to { step -> worker(step).failsStarts = false },
            "restart-machine" to { step -> worker(step).restart() },
            "preemption-notice" to ::announcePreemption,
            "fail-machine" to ::failMachine,
            "plant-hidden" to { step -> plant(step) { worker, attempt -> worker.hiddenAttempts.add(attempt) } },
            "plant-falsely-done" to { step ->
                plant(step) { worker, attempt -> worker.falselyDoneAttempts.add(attempt) }
            },
        )

    private fun worker(step: Step) = simulation.workers.getValue(machineName(step.words[1]))

    /** `hang-first COUNT until S`: hangs the machines with the lowest numbers. */
    private fun hangFirst(step: Step) {
        val hosts = simulation.cloud.machineNames.take(step.words[1].toInt())
        hosts.forEach { simulation.hang(it, step.parseMs(3) - simulation.clock.nowMs) }
    }

    /**
     * `plant-hidden TASK`, `plant-falsely-done TASK`: plants a defect in the worker that has the task, to test that the
     * invariants detect it.
     */
    private fun plant(
        step: Step,
        plantDefect: (FakeWorker, Long) -> Unit,
    ) {
        val taskId = step.words[1]
        val worker = simulation.workers.getValue(machineName("@$taskId"))
        worker.tasks.values
            .filter { it.taskId == taskId }
            .forEach { plantDefect(worker, it.attempt) }
    }

    /**
     * `preemption-notice MACHINE S`: announces in heartbeats that the machine is preempted after S. The notice alone
     * ends nothing.
     */
    private fun announcePreemption(step: Step) {
        worker(step).preemptionAtMs = simulation.clock.nowMs + step.parseMs(2)
    }

    /** `fail-machine MACHINE`: ends the machine. The cloud lists it as failed half a minute later. */
    private fun failMachine(step: Step) {
        val name = machineName(step.words[1])
        simulation.workers.getValue(name).isAlive = false
        simulation.cloud.markFailedLater(name)
    }
}
