package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** Steps that poll jobs, and that cancel running or ending ones. */
internal class UserSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "poll-many" to ::pollMany,
            "poll-rapidly" to ::pollRapidly,
            "rapid-polls" to ::setRapidPolls,
            "cancel-at-end" to ::cancelAtEnd,
            "cancel-now" to ::cancelNow,
        )

    /** `poll-many COUNT EVERY-MS TIMES`: polls each of the jobs numbered from 1000. */
    private fun pollMany(step: Step) {
        val words = step.words
        repeat(words[3].toInt()) { round ->
            simulation.clock.after(round * words[2].toLong()) {
                repeat(words[1].toInt()) { i -> simulation.poll("job-${FIRST_OF_MANY + i}") { _, _ -> } }
            }
        }
    }

    /** `poll-rapidly JOB for S`: polls all controllers every few ms and repeats the submission at times. */
    private fun pollRapidly(step: Step) {
        simulation.users.pollRapidly(step.words[1], step.parseMs(3))
    }

    /** `rapid-polls SHARE`: polls that share of jobs rapidly when they are accepted, end or are cancelled. */
    private fun setRapidPolls(step: Step) {
        simulation.users.rapidPollShare = step.words[1].toDouble()
    }

    /** `cancel-at-end SHARE`: cancels that share of jobs at the moment when they end. */
    private fun cancelAtEnd(step: Step) {
        simulation.users.cancelAtEndShare = step.words[1].toDouble()
    }

    /** `cancel-now COUNT [hang S]`: cancels running jobs. With `hang S` some of their machines hang for so long. */
    private fun cancelNow(step: Step) {
        val hangMs = if (step.words.size > 3) step.parseMs(3) else 0L
        simulation.users.cancelRunning(step.words[1].toInt(), hangMs)
    }
}
