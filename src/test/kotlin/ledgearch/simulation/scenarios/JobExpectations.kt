package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Expectations on the starts, completions and failures of jobs and tasks. */
internal class JobExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationGroup(simulation, step, failures) {
    override val checks =
        mapOf(
            "running" to ::checkRunning,
            "started" to ::checkStarted,
            "starts" to ::checkStarts,
            "failures" to ::checkFailedTasks,
            "broken-starts" to ::checkBrokenStarts,
            "decisions" to ::checkDecisions,
            "terms" to ::checkTerms,
            "finished" to ::checkFinished,
            "accepted" to ::checkAccepted,
        )

    private fun checkRunning() {
        val count = simulation.runningTaskCount(words[2])
        compare("running ${words[2]} ${words[3]}", count, count == words[3].toInt())
    }

    private fun checkStarted() {
        val count = invariants.startCount(words[2])
        compare("started ${words[2]}", count, count > 0)
    }

    private fun checkStarts() {
        val count = invariants.startCount(words[2])
        compare("starts ${words[2]} at most ${words[3]}", count, count <= words[3].toInt())
    }

    private fun checkFailedTasks() {
        val count = invariants.failedStartCount
        compare("failures at most ${words[2]}", count, count <= words[2].toInt())
    }

    private fun checkBrokenStarts() {
        val count = invariants.brokenStartCount
        compare("broken starts at most ${words[2]}", count, count <= words[2].toInt())
    }

    private fun checkDecisions() {
        val count = invariants.lastAttempt and ATTEMPT_COUNTER_MASK
        compare("decisions at most ${words[2]}", count, count <= words[2].toInt())
    }

    private fun checkTerms() {
        val count = invariants.termCount
        compare("terms ${words[2]}", count, count == words[2].toInt())
    }

    private fun checkFinished() {
        val count = invariants.completedTaskCount(words[2])
        compare("finished ${words[2]} ${words[3]}", count, count == words[3].toInt())
    }

    private fun checkAccepted() {
        compare("accepted ${words[2]}", false, invariants.isAccepted(words[2]))
    }

    private companion object {
        /** Bits of an attempt number that hold the counter within a term. */
        const val ATTEMPT_COUNTER_MASK = 0xFFFFFFFL
    }
}
