package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.parseJobSpec

/** Steps that submit and cancel jobs. */
internal class JobSteps(
    simulation: Simulation,
) : StepGroup(simulation) {
    override val actions =
        mapOf<String, (Step) -> Unit>(
            "submit" to ::submit,
            "submit-broken" to ::submitBroken,
            "submit-broken-many" to ::submitBrokenMany,
            "submit-many" to ::submitMany,
            "submit-invalid" to ::submitInvalid,
            "pipelines" to ::submitPipelines,
            "cancel" to ::cancel,
            "cancel-many" to ::cancelMany,
        )

    /** `submit JOB WORDS`: submits a job; `at=NODE` selects the controller. */
    private fun submit(step: Step) {
        val node = step.words.firstOrNull { it.startsWith("at=") }?.substringAfter('=')
        simulation.users.submit(parseJobSpec(step.words.drop(1)), node?.let(::nodeName))
    }

    /** `submit-broken JOB WORDS`: submits a job with a mistake, whose tasks fail on every machine. */
    private fun submitBroken(step: Step) {
        simulation.brokenJobs.add(step.words[1])
        submit(step)
    }

    /**
     * `submit-broken-many COUNT EVERY-MS FOR-MS WORDS`: submits jobs with a mistake, numbered from 7000; each is
     * cancelled after FOR-MS.
     */
    private fun submitBrokenMany(step: Step) {
        val words = step.words
        repeat(words[1].toInt()) { i ->
            val job = "job-${FIRST_BROKEN_JOB + i}"
            simulation.brokenJobs.add(job)
            val startMs = i * words[2].toLong()
            simulation.clock.after(startMs) { simulation.submit(parseJobSpec(listOf(job) + words.drop(4))) }
            simulation.clock.after(startMs + words[3].toLong()) { simulation.cancel(job) }
        }
    }

    /**
     * `submit-many COUNT EVERY-MS WORDS`: submits jobs numbered from 1000. With `depends-on=previous` each one awaits
     * the job before it.
     */
    private fun submitMany(step: Step) {
        val words = step.words
        repeat(words[1].toInt()) { i ->
            simulation.clock.after(i * words[2].toLong()) {
                val description = Pipelines.ofChain(words.drop(3), FIRST_OF_MANY, i)
                simulation.submit(parseJobSpec(listOf("job-${FIRST_OF_MANY + i}") + description))
            }
        }
    }

    /**
     * `submit-invalid JOB JSON`: submits a job that cannot run or lacks a field and must never be accepted. The JSON
     * has no spaces.
     */
    private fun submitInvalid(step: Step) {
        val (_, job, json) = step.words
        simulation.invariants.recordInvalidSubmission(job)
        val sentAtMs = simulation.clock.nowMs
        simulation.sendUserRequest("POST", "/work", json) {
            simulation.invariants.recordSubmitReply(job, it.status, null, sentAtMs)
        }
    }

    /** `pipelines COUNT EVERY-MS MIDDLE WORDS`: submits pipelines of MIDDLE + 2 jobs, numbered from 5000. */
    private fun submitPipelines(step: Step) {
        val words = step.words
        repeat(words[1].toInt()) { i ->
            simulation.clock.after(i * words[2].toLong()) {
                Pipelines
                    .diamond(FIRST_PIPELINE_JOB, i, words[3].toInt(), words.drop(4))
                    .forEach { simulation.submit(parseJobSpec(it)) }
            }
        }
    }

    /** `cancel JOB [at NODE]`: cancels a job; `at NODE` selects the controller. */
    private fun cancel(step: Step) {
        simulation.users.cancel(step.words[1], step.words.getOrNull(3)?.let(::nodeName))
    }

    /** `cancel-many COUNT EVERY-MS STEP`: cancels every STEP-th of the jobs numbered from 1000. */
    private fun cancelMany(step: Step) {
        val words = step.words
        repeat(words[1].toInt()) { i ->
            simulation.clock.after(i * words[2].toLong()) {
                simulation.cancel("job-${FIRST_OF_MANY + i * words[3].toInt()}")
            }
        }
    }

    private companion object {
        const val FIRST_PIPELINE_JOB = 5000
        const val FIRST_BROKEN_JOB = 7000
    }
}
