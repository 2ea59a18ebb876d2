package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Expectations of one kind, by the second word of an `expect` [step]; what does not hold is added to [failures]. */
internal abstract class ExpectationFamily(
    protected val simulation: Simulation,
    protected val step: Step,
    private val failures: MutableList<String>,
) {
    protected val words = step.words
    protected val invariants = simulation.invariants
    protected val store = simulation.store

    /** What carries out each check, by its name. */
    abstract val checks: Map<String, () -> Unit>

    protected fun compare(
        what: String,
        actual: Any?,
        holds: Boolean,
    ) {
        if (!holds) failures.add("line ${step.line}: $what: got $actual")
    }
}
