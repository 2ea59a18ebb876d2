package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.faults.StreamFaults

/** Steps that inject faults into the replication streams between controllers. */
internal class StandbySteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "stream" to ::injectFault,
        )

    /** `stream KIND SHARE until S`: injects a fault of [StreamFaults] into that share of the frames. */
    private fun injectFault(step: Step) {
        val words = step.words
        simulation.streams.add(
            StreamFaults.Kind.valueOf(words[1].uppercase()),
            words[2].toDouble(),
            step.parseMs(4),
        )
    }
}
