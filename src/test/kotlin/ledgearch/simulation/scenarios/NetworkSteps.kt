package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Steps that lose, delay or repeat messages. */
internal class NetworkSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "cut" to ::partition,
            "lose-incoming" to ::loseIncoming,
            "lose-commands" to ::loseCommands,
            "lose-heartbeats" to ::loseHeartbeats,
            "lose-heartbeat-answers" to ::loseHeartbeatReplies,
            "slow" to ::slowDown,
            "replay-heartbeats" to ::replayHeartbeats,
            "duplicate-heartbeats" to ::duplicateHeartbeats,
            "keep-heartbeats" to { step -> simulation.heartbeats.keep(machineName(step.words[1])) },
            "deliver-kept-heartbeats" to { step -> simulation.heartbeats.deliverKept(machineName(step.words[1])) },
            "refuse-connections" to ::refuseConnections,
            "repeat-commands" to ::repeatCommands,
            "repeat-requests" to ::repeatRequests,
        )

    /**
     * `cut NODE HOSTS until S lost|hold`: partitions the controller from the hosts. Messages are lost, or held until
     * the partition ends.
     */
    private fun partition(step: Step) {
        val words = step.words
        simulation.network.partition(nodeName(words[1]), words[2], step.parseMs(4), words[5] == "hold")
    }

    /** `lose-incoming MACHINE until S`: delivers the heartbeats of the machine and loses all that is sent to it. */
    private fun loseIncoming(step: Step) {
        simulation.network.partition("nodes", machineName(step.words[1]), step.parseMs(3), hold = false, oneWay = true)
    }

    /** `lose-commands MACHINE`: delivers replies to heartbeats to the machine and loses direct commands. */
    private fun loseCommands(step: Step) {
        simulation.network.machinesWithoutCommands.add(machineName(step.words[1]))
    }

    /**
     * `lose-heartbeat-answers MACHINE`: loses the replies to heartbeats of the machine. Its heartbeats and direct
     * commands are delivered.
     */
    private fun loseHeartbeatReplies(step: Step) {
        simulation.heartbeats.repliesLostTo.add(machineName(step.words[1]))
    }

    /**
     * `lose-heartbeats MACHINE|zone-ZONE|COUNT [until S]`: loses heartbeats and delivers direct commands. COUNT selects
     * the machines with the lowest numbers.
     */
    private fun loseHeartbeats(step: Step) {
        val word = step.words[1]
        val hosts = word.toIntOrNull()?.let { simulation.cloud.machineNames.take(it) } ?: listOf(machineName(word))
        if (step.words.size > 2) {
            simulation.heartbeats.lose(hosts, step.parseMs(3))
        } else {
            simulation.heartbeats.lostFrom.addAll(hosts)
        }
    }

    /** `slow A B until S MS [oneway]`: delays messages between the hosts, or only those from A to B. */
    private fun slowDown(step: Step) {
        val words = step.words
        val oneWay = words.getOrNull(6) == "oneway"
        simulation.network.slowDown(
            hostPattern(words[1]),
            hostPattern(words[2]),
            step.parseMs(4),
            words[5].toLong(),
            oneWay,
        )
    }

    /**
     * `replay-heartbeats SHARE`: sends copies of that share of the heartbeats to all controllers at the next election.
     */
    private fun replayHeartbeats(step: Step) {
        simulation.heartbeats.replayShare = step.words[1].toDouble()
    }

    /** `duplicate-heartbeats SHARE within S`: repeats that share of the heartbeats after a delay of up to S. */
    private fun duplicateHeartbeats(step: Step) {
        simulation.heartbeats.duplicateShare = step.words[1].toDouble()
        simulation.heartbeats.duplicateDelayMs = step.parseMs(3)
    }

    /** `refuse-connections NODE until S`: makes the controller refuse connections of other controllers. */
    private fun refuseConnections(step: Step) {
        val node = node(step.words[1])
        node.refusesConnections = true
        simulation.clock.at(step.parseMs(3)) { node.refusesConnections = false }
    }

    /** `repeat-commands MACHINE`: repeats all direct commands that the machine has carried out. */
    private fun repeatCommands(step: Step) = simulation.network.repeats.repeatCommands(machineName(step.words[1]))

    /** `repeat-requests SHARE within S`: repeats that share of the controllers' requests after a delay of up to S. */
    private fun repeatRequests(step: Step) {
        simulation.network.repeats.share = step.words[1].toDouble()
        simulation.network.repeats.maxDelayMs = step.parseMs(3)
    }
}
