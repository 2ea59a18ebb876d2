package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Expectations on replicas and replication streams. */
internal class StandbyExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationGroup(simulation, step, failures) {
    override val checks =
        mapOf(
            "replica" to ::replica,
            "compared" to ::compared,
            "stream-faults" to ::streamFaults,
            "replicas-dropped" to ::replicasDropped,
            "streams-dropped" to ::streamsDropped,
        )

    /** `replica NODE current|none`: checks whether the controller has a current replica. */
    private fun replica() {
        val node = simulation.nodes.first { it.name == words[2] }
        val state = if (node.standby?.replica?.isCurrent == true) "current" else "none"
        compare("replica ${words[2]} ${words[3]}", state, state == words[3])
    }

    /** `compared COUNT`: checks that replicas were compared with the leader's state at least COUNT times. */
    private fun compared() {
        val count = simulation.replicaInvariant.comparisonCount
        compare("compared ${words[2]}", count, count >= words[2].toInt())
    }

    private fun streamFaults() {
        val count = simulation.streams.injectedCount
        compare("stream-faults ${words[2]}", count, count >= words[2].toInt())
    }

    /** `replicas-dropped COUNT`: checks that all controllers together dropped at least COUNT replicas. */
    private fun replicasDropped() {
        val count = simulation.nodes.sumOf { it.standby?.report(false)?.replicasDropped ?: 0 }
        compare("replicas-dropped ${words[2]}", count, count >= words[2].toLong())
    }

    private fun streamsDropped() {
        val count = simulation.nodes.sumOf { it.standby?.report(true)?.streamsDropped ?: 0 }
        compare("streams-dropped ${words[2]}", count, count >= words[2].toLong())
    }
}
