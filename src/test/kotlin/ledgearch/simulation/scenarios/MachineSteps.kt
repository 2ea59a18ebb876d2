package ledgearch.simulation.scenarios

import ledgearch.simulation.FakeWorker
import ledgearch.simulation.RestartNumbering
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
            "restart-machine" to { step -> worker(step).restart(numbering(step, NUMBERING_WORD)) },
            "restart-machine-on-token" to ::restartOnToken,
            "preemption-notice" to ::announcePreemption,
            "fail-machine" to ::failMachine,
            "plant-hidden" to { step -> plant(step) { worker, attempt -> worker.hiddenAttempts.add(attempt) } },
            "plant-falsely-done" to { step ->
                plant(step) { worker, attempt -> worker.falselyDoneAttempts.add(attempt) }
            },
        )

    private fun worker(step: Step) = simulation.workers.getValue(machineName(step.words[1]))

    /** `restart-machine-on-token MACHINE after S`: restarts the machine, S after it next accepts a higher token. */
    private fun restartOnToken(step: Step) {
        val worker = worker(step)
        val delayMs = step.parseMs(3)
        val numbering = numbering(step, NUMBERING_WORD_AFTER_DELAY)
        worker.onHigherToken = { simulation.clock.after(delayMs) { worker.restart(numbering) } }
    }

    /** Returns the numbering that the word at [index] names, such as `same_incarnation`; without one it is anew. */
    private fun numbering(
        step: Step,
        index: Int,
    ) = step.words.getOrNull(index)?.let { RestartNumbering.valueOf(it.uppercase()) } ?: RestartNumbering.ANEW

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

    private companion object {
        const val NUMBERING_WORD = 2
        const val NUMBERING_WORD_AFTER_DELAY = 4
    }
}
