package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Checks the `expect` steps of a scenario and adds a message to [failures] for each that does not hold. */
internal class Expectations(
    private val simulation: Simulation,
    private val failures: MutableList<String>,
) {
    /** Runs the check that the second word selects. Any other word is the name of a job, whose state is compared. */
    fun check(step: Step) {
        val states = StateExpectations(simulation, step, failures)
        val groups =
            listOf(
                JobExpectations(simulation, step, failures),
                ClusterExpectations(simulation, step, failures),
                StoreExpectations(simulation, step, failures),
                ReplyExpectations(simulation, step, failures),
                StandbyExpectations(simulation, step, failures),
                ZoneExpectations(simulation, step, failures),
                states,
            )
        val check = groups.firstNotNullOfOrNull { it.checks[step.words[1]] } ?: states::checkJobState
        check()
    }
}
