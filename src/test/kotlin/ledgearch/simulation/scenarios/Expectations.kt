package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** What the `expect` steps of a scenario expect of the [simulation]; what does not hold is added to [failures]. */
internal class Expectations(
    private val simulation: Simulation,
    private val failures: MutableList<String>,
) {
    /** Compares as the second word says; when that is a job, its state. */
    fun check(step: Step) {
        val states = StateExpectations(simulation, step, failures)
        val families =
            listOf(
                JobExpectations(simulation, step, failures),
                ClusterExpectations(simulation, step, failures),
                StoreExpectations(simulation, step, failures),
                AnswerExpectations(simulation, step, failures),
                StandbyExpectations(simulation, step, failures),
                ZoneExpectations(simulation, step, failures),
                states,
            )
        val check = families.firstNotNullOfOrNull { it.checks[step.words[1]] } ?: states::checkJobState
        check()
    }
}
