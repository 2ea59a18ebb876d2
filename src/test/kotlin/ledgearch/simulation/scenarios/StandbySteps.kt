package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.faults.StreamFaults

/** Faults of decision streams between controllers. */
internal class StandbySteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "stream" to ::disturb,
        )

    /** stream KIND SHARE until S: so many of the frames suffer that fault of [StreamFaults]. */
    private fun disturb(step: Step) {
        val words = step.words
        simulation.streams.add(
            StreamFaults.Kind.valueOf(words[1].uppercase()),
            words[2].toDouble(),
            step.milliseconds(4),
        )
    }
}
