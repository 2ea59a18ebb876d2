package ledgearch.simulation

/** Submissions and withdrawals of jobs. */
internal class JobSteps(
    simulation: Simulation,
) : StepFamily(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "submit" to ::submit,
            "submit-many" to ::submitMany,
            "submit-odd" to ::submitOdd,
            "pipelines" to ::submitPipelines,
            "withdraw" to ::withdraw,
            "withdraw-many" to ::withdrawMany,
        )

    /** submit JOB WORDS: with at=NODE, at that controller. */
    private fun submit(step: Step) {
        val node = step.words.firstOrNull { it.startsWith("at=") }?.substringAfter('=')
        simulation.users.submit(requestOf(step.words.drop(1)), node?.let(::nodeName))
    }

    /**
     * submit-many COUNT EVERY-MS ...: jobs numbered from 1000; with awaits=previous, each awaits the one before.
     */
    private fun submitMany(step: Step) {
        val words = step.words
        repeat(words[1].toInt()) { i ->
            simulation.clock.after(i * words[2].toLong()) {
                val description = Pipelines.ofChain(words.drop(3), FIRST_OF_MANY, i)
                simulation.submit(requestOf(listOf("job-${FIRST_OF_MANY + i}") + description))
            }
        }
    }

    /** submit-odd JOB JSON: a job that can't run or lacks a field, with no spaces; it must never be accepted. */
    private fun submitOdd(step: Step) {
        val (_, job, json) = step.words
        simulation.rules.submittedOdd(job)
        val askedAt = simulation.clock.now
        simulation.ask("POST", "/work", json) { simulation.rules.submitAnswered(job, it.status, null, askedAt) }
    }

    /** pipelines COUNT EVERY-MS MIDDLE ...: numbered from 5000, each of MIDDLE + 2 jobs. */
    private fun submitPipelines(step: Step) {
        val words = step.words
        repeat(words[1].toInt()) { i ->
            simulation.clock.after(i * words[2].toLong()) {
                Pipelines
                    .diamond(FIRST_OF_PIPELINES, i, words[3].toInt(), words.drop(4))
                    .forEach { simulation.submit(requestOf(it)) }
            }
        }
    }

    /** withdraw JOB [at NODE] */
    private fun withdraw(step: Step) {
        simulation.users.withdraw(step.words[1], step.words.getOrNull(3)?.let(::nodeName))
    }

    /** withdraw-many COUNT EVERY-MS STEP: every so manieth of the jobs numbered from 1000. */
    private fun withdrawMany(step: Step) {
        val words = step.words
        repeat(words[1].toInt()) { i ->
            simulation.clock.after(i * words[2].toLong()) {
                simulation.withdraw("job-${FIRST_OF_MANY + i * words[3].toInt()}")
            }
        }
    }

    private companion object {
        const val FIRST_OF_PIPELINES = 5000
    }
}
