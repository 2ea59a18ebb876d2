package ledgearch.simulation

/** Messages that are lost, late or repeated. */
internal class NetworkSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "cut" to ::cut,
            "deaf" to ::deafen,
            "uncommanded" to ::loseCommands,
            "unreporting" to ::loseReports,
            "unanswered" to ::loseAnswers,
            "mute" to ::mute,
            "slow" to ::slow,
            "keep-copies" to ::keepCopies,
            "copies" to ::copy,
            "busy" to ::refuseConnections,
        )

    private fun cut(step: Step) {
        val words = step.words
        simulation.cut(nodeName(words[1]), words[2], step.milliseconds(4), words[5] == "hold")
    }

    /** deaf MACHINE until S: its reports arrive, but nothing reaches it. */
    private fun deafen(step: Step) {
        simulation.cut("nodes", host(step.words[1]), step.milliseconds(3), hold = false, oneWay = true)
    }

    /** uncommanded MACHINE: answers to its reports reach it, direct commands do not. */
    private fun loseCommands(step: Step) {
        simulation.uncommanded.add(host(step.words[1]))
    }

    /** unreporting MACHINE: its reports reach nobody, direct commands reach it. */
    private fun loseReports(step: Step) {
        simulation.unreporting.add(host(step.words[1]))
    }

    /** unanswered MACHINE: its reports arrive, their answers are lost, direct commands reach it. */
    private fun loseAnswers(step: Step) {
        simulation.unanswered.add(host(step.words[1]))
    }

    /** mute MACHINE|zone-ZONE|COUNT until S: reports reach nobody, direct commands reach it. */
    private fun mute(step: Step) {
        val word = step.words[1]
        val hosts = word.toIntOrNull()?.let { simulation.cloud.names.take(it) } ?: listOf(host(word))
        simulation.mute(hosts, step.milliseconds(3))
    }

    /**
     * slow A B until S MS [oneway]: messages between them, or only from the first to the second, take so much longer.
     */
    private fun slow(step: Step) {
        val words = step.words
        val oneWay = words.getOrNull(6) == "oneway"
        simulation.slow(pattern(words[1]), pattern(words[2]), step.milliseconds(4), words[5].toLong(), oneWay)
    }

    /** keep-copies SHARE: of reports, copies reach every controller when the next grant is made. */
    private fun keepCopies(step: Step) {
        simulation.keptShare = step.words[1].toDouble()
    }

    /** copies SHARE within S: of that share of reports from now on a copy comes up to so much later. */
    private fun copy(step: Step) {
        simulation.copied = step.words[1].toDouble()
        simulation.copyDelayMs = step.milliseconds(3)
    }

    /** busy NODE until S: it refuses connections of other controllers. */
    private fun refuseConnections(step: Step) {
        val node = node(step.words[1])
        node.refusing = true
        simulation.clock.at(step.milliseconds(3)) { node.refusing = false }
    }
}
