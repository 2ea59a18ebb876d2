package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Messages that are lost, late or repeated. */
internal class NetworkSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "cut" to ::cut,
            "lose-incoming" to ::loseIncoming,
            "lose-commands" to ::loseCommands,
            "lose-heartbeats" to ::loseHeartbeats,
            "lose-heartbeat-answers" to ::loseHeartbeatAnswers,
            "slow" to ::slow,
            "replay-heartbeats" to ::replayHeartbeats,
            "duplicate-heartbeats" to ::duplicateHeartbeats,
            "refuse-connections" to ::refuseConnections,
        )

    /** cut NODE HOSTS until S lost|hold: messages between them are lost, or held till the end of that. */
    private fun cut(step: Step) {
        val words = step.words
        simulation.network.cut(nodeName(words[1]), words[2], step.milliseconds(4), words[5] == "hold")
    }

    /** lose-incoming MACHINE until S: its heartbeats arrive, but nothing reaches it. */
    private fun loseIncoming(step: Step) {
        simulation.network.cut("nodes", host(step.words[1]), step.milliseconds(3), hold = false, oneWay = true)
    }

    /** lose-commands MACHINE: answers to its heartbeats reach it, direct commands do not. */
    private fun loseCommands(step: Step) {
        simulation.network.withoutCommands.add(host(step.words[1]))
    }

    /** lose-heartbeat-answers MACHINE: its heartbeats arrive, their answers are lost, direct commands reach it. */
    private fun loseHeartbeatAnswers(step: Step) {
        simulation.heartbeats.unanswered.add(host(step.words[1]))
    }

    /** lose-heartbeats MACHINE|zone-ZONE|COUNT [until S]: heartbeats reach nobody, direct commands reach machines. */
    private fun loseHeartbeats(step: Step) {
        val word = step.words[1]
        val hosts = word.toIntOrNull()?.let { simulation.cloud.names.take(it) } ?: listOf(host(word))
        if (step.words.size > 2) {
            simulation.heartbeats.lose(hosts, step.milliseconds(3))
        } else {
            simulation.heartbeats.lost.addAll(hosts)
        }
    }

    /**
     * slow A B until S MS [oneway]: messages between them, or only from the first to the second, take so much longer.
     */
    private fun slow(step: Step) {
        val words = step.words
        val oneWay = words.getOrNull(6) == "oneway"
        simulation.network.slow(pattern(words[1]), pattern(words[2]), step.milliseconds(4), words[5].toLong(), oneWay)
    }

    /** replay-heartbeats SHARE: copies of that share reach every controller when the next leader is elected. */
    private fun replayHeartbeats(step: Step) {
        simulation.heartbeats.keptShare = step.words[1].toDouble()
    }

    /** duplicate-heartbeats SHARE within S: of that share from now on a copy comes up to so much later. */
    private fun duplicateHeartbeats(step: Step) {
        simulation.heartbeats.duplicated = step.words[1].toDouble()
        simulation.heartbeats.duplicateDelayMs = step.milliseconds(3)
    }

    /** refuse-connections NODE until S: it refuses connections of other controllers. */
    private fun refuseConnections(step: Step) {
        val node = node(step.words[1])
        node.isRefusing = true
        simulation.clock.at(step.milliseconds(3)) { node.isRefusing = false }
    }
}
