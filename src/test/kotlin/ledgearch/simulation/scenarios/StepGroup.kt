package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.leaderName
import ledgearch.wire.TaskState

/** Base class of groups of steps, with functions that resolve words to controllers and machines of the [simulation]. */
internal abstract class StepGroup(
    protected val simulation: Simulation,
) {
    /** The actions by the name of the step. */
    abstract val actions: Map<String, (Step) -> Unit>

    /** Returns the name of a controller; `leader` stands for the current leader. */
    protected fun nodeName(word: String) = if (word == LEADER) leaderName(simulation) else word

    /** Returns the controller that [word] names. */
    protected fun node(word: String) = simulation.nodes.first { it.name == nodeName(word) }

    /** Returns the name of a machine; `@job-1/0` stands for the machine that has this task. */
    protected fun machineName(word: String): String {
        if (!word.startsWith("@")) return word
        val taskId = word.drop(1)
        return simulation.workers.values
            .firstOrNull { worker -> worker.tasks.values.any { it.taskId == taskId && it.state != TaskState.EXITED } }
            ?.name ?: "nowhere"
    }

    /** Returns the host pattern of a network fault: a controller, a machine or a kind of hosts. */
    protected fun hostPattern(word: String) = if (word == LEADER) leaderName(simulation) else machineName(word)

    protected companion object {
        const val LEADER = "leader"

        /** Number of the first job of the steps that submit, cancel or poll many jobs. */
        const val FIRST_OF_MANY = 1000
    }
}
