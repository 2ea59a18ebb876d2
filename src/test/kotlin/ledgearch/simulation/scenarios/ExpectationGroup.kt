package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/**
 * Base class of groups of expectations. The second word of an `expect` [step] selects the check; a check that does not
 * hold adds a message to [failures].
 */
internal abstract class ExpectationGroup(
    protected val simulation: Simulation,
    protected val step: Step,
    private val failures: MutableList<String>,
) {
    protected val words = step.words
    protected val invariants = simulation.invariants
    protected val store = simulation.store

    /** The check functions by the word that selects them. */
    abstract val checks: Map<String, () -> Unit>

    protected fun compare(
        expectation: String,
        actual: Any?,
        holds: Boolean,
    ) {
        if (!holds) failures.add("line ${step.line}: $expectation: got $actual")
    }
}
