package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Steps that write to the state service, inject faults into it and change its limits. */
internal class StoreSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    private val store = simulation.store

    override val actions =
        mapOf<String, (Step) -> Unit>(
            "write" to ::write,
            "refuse-node" to ::refuseNode,
            "late-writes" to ::delayWrites,
            "unanswered-writes" to ::loseRepliesToWrites,
            "late-writes-under" to ::delayWritesUnder,
            "lose-watch-answers" to ::loseWatchReplies,
            "empty-pages" to { step -> store.faults.emptyPageShare = step.words[1].toDouble() },
            "compact-history" to { store.compact() },
            "state-down" to { store.beginOutage() },
            "state-up" to { store.endOutage() },
            "slow-writes" to ::slowWrites,
            "slow-comparisons" to ::slowComparisons,
            "announce-limits" to ::announceLimits,
            "change-limits" to ::changeLimits,
        )

    /** `write KEY JSON`: writes a value as another client would. The JSON has no spaces. */
    private fun write(step: Step) {
        store.write(step.words[1], step.words[2])
    }

    /** `refuse-node NODE until S`: makes the state service refuse the requests of this controller. */
    private fun refuseNode(step: Step) {
        store.refuse(nodeName(step.words[1]), step.parseMs(3))
    }

    /** `late-writes SHARE until S`: executes that share of the writes 2 to 12 s late and loses the replies. */
    private fun delayWrites(step: Step) {
        store.faults.lateWriteShare = step.words[1].toDouble()
        simulation.clock.at(step.parseMs(3)) { store.faults.lateWriteShare = 0.0 }
    }

    /** `unanswered-writes SHARE until S`: executes that share of the writes at once and loses the replies. */
    private fun loseRepliesToWrites(step: Step) {
        store.faults.lostReplyShare = step.words[1].toDouble()
        simulation.clock.at(step.parseMs(3)) { store.faults.lostReplyShare = 0.0 }
    }

    /** `late-writes-under PREFIX by S until S`: executes writes to such keys late and loses the replies. */
    private fun delayWritesUnder(step: Step) {
        store.faults.delayWritesUnder(step.words[1], step.parseMs(3), step.parseMs(5))
    }

    /** `lose-watch-answers NODE until S`: loses the replies to this controller's watches. */
    private fun loseWatchReplies(step: Step) {
        store.faults.loseWatchReplies(nodeName(step.words[1]), step.parseMs(3))
    }

    /** `slow-writes MS`: executes transactions that write at once and delays the replies. */
    private fun slowWrites(step: Step) {
        store.faults.writeReplyDelayMs = step.words[1].toLong()
    }

    /** `slow-comparisons MS`: delays the replies to transactions that only compare. */
    private fun slowComparisons(step: Step) {
        store.faults.comparisonReplyDelayMs = step.words[1].toLong()
    }

    /** `announce-limits LIMITS`: announces the limits in the settings of controllers that start from now on. */
    private fun announceLimits(step: Step) {
        simulation.announcedLimits = ScenarioLimits.next(step.words.drop(1))
    }

    /** `change-limits LIMITS`: changes the limits of the state service. */
    private fun changeLimits(step: Step) {
        store.rateLimits.change(ScenarioLimits.of(ScenarioLimits.next(step.words.drop(1))))
    }
}
