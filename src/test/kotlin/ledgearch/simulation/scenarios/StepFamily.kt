package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.leader
import ledgearch.wire.TaskState

/** Steps of one kind, by name, and how their words name controllers and machines of the [simulation]. */
internal abstract class StepFamily(
    protected val simulation: Simulation,
) {
    /** What carries out each step, by the step's name. */
    abstract val actions: Map<String, (Step) -> Unit>

    /** A controller's name: as it is written, or that of the leader. */
    protected fun nodeName(word: String) = if (word == LEADER) leader(simulation) else word

    /** The controller that a word names. */
    protected fun node(word: String) = simulation.nodes.first { it.name == nodeName(word) }

    /** A machine's name, or the machine on which a task is: `@job-1/0`. */
    protected fun host(word: String): String {
        if (!word.startsWith("@")) return word
        val taskId = word.drop(1)
        return simulation.workers.values
            .firstOrNull { worker -> worker.tasks.values.any { it.taskId == taskId && it.state != TaskState.EXITED } }
            ?.name ?: "nowhere"
    }

    /** A kind of hosts, a controller or a machine. */
    protected fun pattern(word: String) = if (word == LEADER) leader(simulation) else host(word)

    protected companion object {
        const val LEADER = "leader"

        /** The number of the first job of steps that submit, cancel or poll many. */
        const val FIRST_OF_MANY = 1000
    }
}
