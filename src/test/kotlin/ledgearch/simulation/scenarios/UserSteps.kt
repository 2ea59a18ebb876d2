package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation

/** What users ask beside submissions, and when they cancel. */
internal class UserSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "poll-many" to ::pollMany,
            "poll-rapidly" to ::pollRapidly,
            "rapid-polls" to ::setRapidPolls,
            "cancel-at-end" to ::cancelAtEnd,
            "cancel-now" to ::cancelNow,
        )

    /** poll-many COUNT EVERY-MS TIMES: each of so many jobs numbered from 1000. */
    private fun pollMany(step: Step) {
        val words = step.words
        repeat(words[3].toInt()) { time ->
            simulation.clock.after(time * words[2].toLong()) {
                repeat(words[1].toInt()) { i -> simulation.poll("job-${FIRST_OF_MANY + i}") { _, _ -> } }
            }
        }
    }

    /** poll-rapidly JOB for S: all controllers are asked again and again within milliseconds, submissions repeated. */
    private fun pollRapidly(step: Step) {
        simulation.users.pollRapidly(step.words[1], step.milliseconds(3))
    }

    /** rapid-polls SHARE: of the jobs that are accepted, end or are cancelled, all controllers are asked rapidly. */
    private fun setRapidPolls(step: Step) {
        simulation.users.rapidPolls = step.words[1].toDouble()
    }

    /** cancel-at-end SHARE: of the jobs that end, some are cancelled at that moment. */
    private fun cancelAtEnd(step: Step) {
        simulation.users.cancelsAtEnd = step.words[1].toDouble()
    }

    /** cancel-now COUNT [hang S]: of those that run; some of their machines hang so long. */
    private fun cancelNow(step: Step) {
        val hangsMs = if (step.words.size > 3) step.milliseconds(3) else 0L
        simulation.users.cancelNow(step.words[1].toInt(), hangsMs)
    }
}
