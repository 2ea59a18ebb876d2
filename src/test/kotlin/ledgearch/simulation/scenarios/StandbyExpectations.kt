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
            "replica" to ::checkReplica,
            "compared" to ::checkCompared,
            "stream-faults" to ::checkStreamFaults,
            "replicas-dropped" to ::checkReplicasDropped,
            "streams-dropped" to ::checkStreamsDropped,
        )

    /** `replica NODE current|none`: checks whether the controller has a current replica. */
    private fun checkReplica() {
        val node = simulation.nodes.first { it.name == words[2] }
        val state = if (node.standby?.replica?.isCurrent == true) "current" else "none"
        compare("replica ${words[2]} ${words[3]}", state, state == words[3])
    }

    /** `compared COUNT`: checks that replicas were compared with the leader's state at least COUNT times. */
    private fun checkCompared() {
        val count = simulation.replicaInvariant.comparisonCount
        compare("compared ${words[2]}", count, count >= words[2].toInt())
    }

    private fun checkStreamFaults() {
        val count = simulation.streams.injectedCount
        compare("stream-faults ${words[2]}", count, count >= words[2].toInt())
    }

    /** `replicas-dropped COUNT`: checks that all controllers together dropped at least COUNT replicas. */
    private fun checkReplicasDropped() {
        val count = simulation.nodes.sumOf { it.standby?.report(false)?.replicasDropped ?: 0 }
        compare("replicas-dropped ${words[2]}", count, count >= words[2].toLong())
    }

    private fun checkStreamsDropped() {
        val count = simulation.nodes.sumOf { it.standby?.report(true)?.streamsDropped ?: 0 }
        compare("streams-dropped ${words[2]}", count, count >= words[2].toLong())
    }
}
