package ledgearch.world

/** Messages that are lost, late or repeated. */
internal class NetworkSteps(
    world: World,
) : StepFamily(world) {
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
        world.cut(nodeName(words[1]), words[2], step.milliseconds(4), words[5] == "hold")
    }

    /** deaf MACHINE until S: its reports arrive, but nothing reaches it. */
    private fun deafen(step: Step) {
        world.cut("nodes", host(step.words[1]), step.milliseconds(3), hold = false, oneWay = true)
    }

    /** uncommanded MACHINE: answers to its reports reach it, direct commands do not. */
    private fun loseCommands(step: Step) {
        world.uncommanded.add(host(step.words[1]))
    }

    /** unreporting MACHINE: its reports reach nobody, direct commands reach it. */
    private fun loseReports(step: Step) {
        world.unreporting.add(host(step.words[1]))
    }

    /** unanswered MACHINE: its reports arrive, their answers are lost, direct commands reach it. */
    private fun loseAnswers(step: Step) {
        world.unanswered.add(host(step.words[1]))
    }

    /** mute MACHINE|zone-ZONE|COUNT until S: reports reach nobody, direct commands reach it. */
    private fun mute(step: Step) {
        val word = step.words[1]
        val hosts = word.toIntOrNull()?.let { world.cloud.names.take(it) } ?: listOf(host(word))
        world.mute(hosts, step.milliseconds(3))
    }

    /**
     * slow A B until S MS [oneway]: messages between them, or only from the first to the second, take so much longer.
     */
    private fun slow(step: Step) {
        val words = step.words
        val oneWay = words.getOrNull(6) == "oneway"
        world.slow(pattern(words[1]), pattern(words[2]), step.milliseconds(4), words[5].toLong(), oneWay)
    }

    /** keep-copies SHARE: of reports, copies reach every controller when the next grant is made. */
    private fun keepCopies(step: Step) {
        world.keptShare = step.words[1].toDouble()
    }

    /** copies SHARE within S: of that share of reports from now on a copy comes up to so much later. */
    private fun copy(step: Step) {
        world.copied = step.words[1].toDouble()
        world.copyDelayMs = step.milliseconds(3)
    }

    /** busy NODE until S: it refuses connections of other controllers. */
    private fun refuseConnections(step: Step) {
        val node = node(step.words[1])
        node.refusing = true
        world.clock.at(step.milliseconds(3)) { node.refusing = false }
    }
}
