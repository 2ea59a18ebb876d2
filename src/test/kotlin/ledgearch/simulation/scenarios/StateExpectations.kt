package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.wire.JobState

/** Which states of jobs users are told. */
internal class StateExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationFamily(simulation, step, failures) {
    /** What a user was told of a job: its state, or the status of an answer that tells no state. */
    private class Answer(
        val status: Int,
        val state: JobState?,
    ) {
        val text: String get() = state?.text ?: status.toString()
    }

    override val checks =
        mapOf(
            "everyone-known" to ::everyoneKnown,
            "everyone-served" to ::everyoneServed,
            "cancelled-everywhere" to ::cancelledEverywhere,
        )

    private fun everyoneKnown() {
        invariants.everyoneAccepted.forEach { job ->
            expectAnswer(job, simulation.clock.now + FORGOTTEN_MS) {
                compare("everyone known", "no answer for $job", false)
            }
        }
    }

    /**
     * Every accepted job is done, or its replicas all run; where a user asked for its end, or for that of a job that
     * it needs, it may be cancelled. `everyone-served over S`: the questions are spread over so long, and about jobs
     * that are over for their users nobody asks: what they were told is checked by the invariants already, and each
     * answer about one that a controller has forgotten takes two readings.
     */
    private fun everyoneServed() {
        val isSpread = words.size > 2
        val spreadMs = if (isSpread) step.milliseconds(3) else 0L
        val jobs = invariants.everyoneAccepted.filter { !isSpread || !invariants.isToldOver(it) }
        jobs.forEachIndexed { index, job -> simulation.clock.after(index * spreadMs / jobs.size) { expectServed(job) } }
    }

    private fun expectServed(job: String) =
        expectState(job, TRIES, { isServed(job, it) }) {
            compare("everyone served", "$job: ${it.text}${missing(job)}", false)
        }

    private fun missing(job: String): String {
        val tasks = invariants.submitted.getValue(job).taskCount
        val mark = ", cancellation asked, marked ${store.field("w/j/$job", "cancel")}"
        val asked = if (invariants.isCancelled(job)) mark else ""
        return ", ${invariants.completedOf(job)} of $tasks completed, ${simulation.running(job)} running$asked"
    }

    /** cancelled-everywhere FIRST COUNT: every controller calls each of so many jobs numbered from there cancelled. */
    private fun cancelledEverywhere() {
        repeat(words[3].toInt()) { i ->
            val job = "job-${words[2].toInt() + i}"
            simulation.nodes.forEach { expectCancelled(job, it.name) }
        }
    }

    private fun expectCancelled(
        job: String,
        node: String,
    ) = expectState(job, TRIES, { it.state == JobState.CANCELLED }, node) {
        compare("$job cancelled at $node", it.text, false)
    }

    /** JOB STATE, or the status of an answer that tells no state. */
    fun checkJobState() {
        val expected = JobState.entries.firstOrNull { it.name.lowercase() == words[2] }?.text ?: words[2]
        expectState(words[1], TRIES, { it.text == expected }) { compare("${words[1]} ${words[2]}", it.text, false) }
    }

    /** Polls [job] about every 5 s, as users do, until it is answered or forgotten. */
    private fun expectAnswer(
        job: String,
        until: Long,
        forgotten: () -> Unit,
    ) {
        simulation.poll(job) { status, _ ->
            if (status == 200) return@poll
            if (simulation.clock.now > until) {
                forgotten()
            } else {
                simulation.clock.after(POLL_MS) { expectAnswer(job, until, forgotten) }
            }
        }
    }

    /** A poll that gets no answer is repeated, as users do. */
    private fun expectState(
        job: String,
        tries: Int,
        isRight: (Answer) -> Boolean,
        node: String? = null,
        wrong: (Answer) -> Unit,
    ) {
        simulation.poll(job, node) { status, state ->
            val answer = Answer(status, state)
            when {
                isRight(answer) -> Unit
                state == null && status != 404 && tries > 1 -> expectState(job, tries - 1, isRight, node, wrong)
                else -> wrong(answer)
            }
        }
    }

    private fun isServed(
        job: String,
        answer: Answer,
    ) = when (answer.state) {
        JobState.DONE -> true
        JobState.CANCELLED -> invariants.mayBeCancelled(job)
        JobState.PENDING, JobState.RUNNING -> invariants.runsFully(job)
        null -> false
    }

    private companion object {
        const val TRIES = 4

        /** ms. A job with no question answered for so long is forgotten. */
        const val FORGOTTEN_MS = 75_000L
        const val POLL_MS = 5_000L
    }
}
