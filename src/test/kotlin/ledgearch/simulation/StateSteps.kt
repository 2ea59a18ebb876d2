package ledgearch.simulation

/** What the state service does and refuses. */
internal class StateSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    private val state = simulation.state

    override val actions =
        mapOf<String, (Step) -> Unit>(
            "write" to ::write,
            "refuse" to ::refuse,
            "late-writes" to ::delayWrites,
            "unanswered-writes" to ::loseAnswersToWrites,
            "late-under" to ::delayWritesUnder,
            "blind" to ::blind,
            "empty-pages" to { step -> state.emptyPageShare = step.words[1].toDouble() },
            "forget-changes" to { forgetChanges() },
            "state-down" to { state.outage(true) },
            "state-up" to { state.outage(false) },
            "state-slow" to ::slowWrites,
            "compare-slow" to ::slowComparisons,
            "next" to ::announceLimits,
            "state-limits" to ::limit,
        )

    /** write KEY JSON: with no spaces. */
    private fun write(step: Step) {
        state.write(step.words[1], step.words[2])
    }

    /** refuse NODE until S: the state service refuses this controller alone. */
    private fun refuse(step: Step) {
        state.refuse(nodeName(step.words[1]), step.milliseconds(3))
    }

    /** late-writes SHARE until S: no answer, and carried out 2 to 12 s later. */
    private fun delayWrites(step: Step) {
        state.lateShare = step.words[1].toDouble()
        simulation.clock.at(step.milliseconds(3)) { state.lateShare = 0.0 }
    }

    /** unanswered-writes SHARE until S: carried out at once, only the answer is lost. */
    private fun loseAnswersToWrites(step: Step) {
        state.unansweredShare = step.words[1].toDouble()
        simulation.clock.at(step.milliseconds(3)) { state.unansweredShare = 0.0 }
    }

    /** late-under PREFIX by S until S: what changes such a key gets no answer, and is carried out so much later. */
    private fun delayWritesUnder(step: Step) {
        state.late(step.words[1], step.milliseconds(3), step.milliseconds(5))
    }

    /** blind NODE until S: what its watches would tell is lost. */
    private fun blind(step: Step) {
        state.blind(nodeName(step.words[1]), step.milliseconds(3))
    }

    /** forget-changes: the state service no longer tells those so far to watches. */
    private fun forgetChanges() {
        state.forgetChanges()
    }

    /** state-slow MS: transactions that write are carried out at once and answered so much later. */
    private fun slowWrites(step: Step) {
        state.slowMs = step.words[1].toLong()
    }

    /** compare-slow MS: those that only compare are. */
    private fun slowComparisons(step: Step) {
        state.slowCompareMs = step.words[1].toLong()
    }

    /** next LIMITS: the settings of controllers that start from now on announce them. */
    private fun announceLimits(step: Step) {
        simulation.nextLimits = ScenarioLimits.next(step.words.drop(1))
    }

    /** state-limits LIMITS: the state service has them from now on. */
    private fun limit(step: Step) {
        state.limit(ScenarioLimits.of(ScenarioLimits.next(step.words.drop(1))))
    }
}
