package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** What the state service does and refuses. */
internal class StoreSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    private val store = simulation.store

    override val actions =
        mapOf<String, (Step) -> Unit>(
            "write" to ::write,
            "refuse-node" to ::refuseNode,
            "late-writes" to ::delayWrites,
            "unanswered-writes" to ::loseAnswersToWrites,
            "late-writes-under" to ::delayWritesUnder,
            "lose-watch-answers" to ::loseWatchAnswers,
            "empty-pages" to { step -> store.faults.emptyPageShare = step.words[1].toDouble() },
            "compact-history" to { store.compact() },
            "state-down" to { store.beginOutage() },
            "state-up" to { store.endOutage() },
            "slow-writes" to ::slowWrites,
            "slow-comparisons" to ::slowComparisons,
            "announce-limits" to ::announceLimits,
            "change-limits" to ::changeLimits,
        )

    /** write KEY JSON: with no spaces. */
    private fun write(step: Step) {
        store.write(step.words[1], step.words[2])
    }

    /** refuse-node NODE until S: the state service refuses this controller alone. */
    private fun refuseNode(step: Step) {
        store.refuse(nodeName(step.words[1]), step.milliseconds(3))
    }

    /** late-writes SHARE until S: no answer, and executed 2 to 12 s later. */
    private fun delayWrites(step: Step) {
        store.faults.lateShare = step.words[1].toDouble()
        simulation.clock.at(step.milliseconds(3)) { store.faults.lateShare = 0.0 }
    }

    /** unanswered-writes SHARE until S: executed at once, only the answer is lost. */
    private fun loseAnswersToWrites(step: Step) {
        store.faults.unansweredShare = step.words[1].toDouble()
        simulation.clock.at(step.milliseconds(3)) { store.faults.unansweredShare = 0.0 }
    }

    /** late-writes-under PREFIX by S until S: what changes such a key gets no answer, and is executed so much later. */
    private fun delayWritesUnder(step: Step) {
        store.faults.delayWritesUnder(step.words[1], step.milliseconds(3), step.milliseconds(5))
    }

    /** lose-watch-answers NODE until S: what its watches would tell is lost. */
    private fun loseWatchAnswers(step: Step) {
        store.faults.loseWatchAnswers(nodeName(step.words[1]), step.milliseconds(3))
    }

    /** slow-writes MS: transactions that write are executed at once and answered so much later. */
    private fun slowWrites(step: Step) {
        store.faults.slowMs = step.words[1].toLong()
    }

    /** slow-comparisons MS: those that only compare are. */
    private fun slowComparisons(step: Step) {
        store.faults.slowCompareMs = step.words[1].toLong()
    }

    /** announce-limits LIMITS: the settings of controllers that start from now on announce them. */
    private fun announceLimits(step: Step) {
        simulation.nextLimits = ScenarioLimits.next(step.words.drop(1))
    }

    /** change-limits LIMITS: the state service has them from now on. */
    private fun changeLimits(step: Step) {
        store.rateLimits.change(ScenarioLimits.of(ScenarioLimits.next(step.words.drop(1))))
    }
}
