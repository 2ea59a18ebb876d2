package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.simulation.invariants.UnansweredJobs
import ledgearch.wire.JobState

/** Expectations on the states of jobs in replies to polls. */
internal class StateExpectations(
    simulation: Simulation,
    step: Step,
    failures: MutableList<String>,
) : ExpectationGroup(simulation, step, failures) {
    /** A reply to a poll, with the state of the job unless the status is an error. */
    private class PollReply(
        val status: Int,
        val state: JobState?,
    ) {
        val text: String get() = state?.text ?: status.toString()
    }

    override val checks =
        mapOf(
            "everyone-known" to ::checkEveryoneKnown,
            "everyone-served" to ::checkEveryoneServed,
            "cancelled-everywhere" to ::checkCancelledEverywhere,
        )

    private fun checkEveryoneKnown() {
        invariants.acceptedJobs.forEach { job ->
            expectKnown(job, simulation.clock.nowMs + UnansweredJobs.FORGOTTEN_AFTER_MS) {
                compare("everyone known", "no reply with status 200 for $job", false)
            }
        }
    }

    /**
     * `everyone-served [over S]`: checks that every accepted job is done or a service with all its replicas running. A
     * job may be cancelled if a user requested that for it or for one of its dependencies. With `over S` the polls are
     * spread over that time and omit jobs that a reply has reported as ended: the invariants have checked those, and a
     * poll of a job that a controller no longer caches takes two reads.
     */
    private fun checkEveryoneServed() {
        val isSpread = words.size > 2
        val spreadMs = if (isSpread) step.parseMs(3) else 0L
        val jobs = invariants.acceptedJobs.filter { !isSpread || !invariants.isObservedEnded(it) }
        jobs.forEachIndexed { index, job -> simulation.clock.after(index * spreadMs / jobs.size) { expectServed(job) } }
    }

    private fun expectServed(job: String) =
        expectState(job, MAX_TRIES, { isServed(job, it) }) {
            compare("everyone served", "$job: ${it.text}${progressOf(job)}", false)
        }

    private fun progressOf(job: String): String {
        val tasks = invariants.submittedJobs.getValue(job).taskCount
        val requested = ", cancellation requested, recorded as ${store.field("w/j/$job", "cancel")}"
        val cancellation = if (invariants.isCancelRequested(job)) requested else ""
        return ", ${invariants.completedTaskCount(job)} of $tasks completed, " +
            "${simulation.runningTaskCount(job)} running$cancellation"
    }

    /**
     * `cancelled-everywhere FIRST COUNT`: checks that every controller reports COUNT jobs, numbered from FIRST, as
     * cancelled.
     */
    private fun checkCancelledEverywhere() {
        repeat(words[3].toInt()) { i ->
            val job = "job-${words[2].toInt() + i}"
            simulation.nodes.forEach { expectCancelled(job, it.name) }
        }
    }

    private fun expectCancelled(
        job: String,
        node: String,
    ) = expectState(job, MAX_TRIES, { it.state == JobState.CANCELLED }, node) {
        compare("$job cancelled at $node", it.text, false)
    }

    /** `JOB STATE`: compares the state of the job, or the status of a reply without a state. */
    fun checkJobState() {
        val expected = JobState.entries.firstOrNull { it.name.lowercase() == words[2] }?.text ?: words[2]
        expectState(words[1], MAX_TRIES, { it.text == expected }) { compare("${words[1]} ${words[2]}", it.text, false) }
    }

    /** Polls [job] until a reply has status 200; calls [onForgotten] if none came before [untilMs]. */
    private fun expectKnown(
        job: String,
        untilMs: Long,
        onForgotten: () -> Unit,
    ) {
        simulation.poll(job) { status, _ ->
            if (status == 200) return@poll
            if (simulation.clock.nowMs > untilMs) {
                onForgotten()
            } else {
                simulation.clock.after(POLL_INTERVAL_MS) { expectKnown(job, untilMs, onForgotten) }
            }
        }
    }

    /**
     * Polls [job] and repeats a poll without a state, unless the job is unknown (404). Calls [onMismatch] for a reply
     * that does not match.
     */
    private fun expectState(
        job: String,
        tries: Int,
        matches: (PollReply) -> Boolean,
        node: String? = null,
        onMismatch: (PollReply) -> Unit,
    ) {
        simulation.poll(job, node) { status, state ->
            val reply = PollReply(status, state)
            when {
                matches(reply) -> Unit
                state == null && status != 404 && tries > 1 -> expectState(job, tries - 1, matches, node, onMismatch)
                else -> onMismatch(reply)
            }
        }
    }

    private fun isServed(
        job: String,
        reply: PollReply,
    ) = when (reply.state) {
        JobState.DONE -> true
        JobState.CANCELLED -> invariants.mayBeCancelled(job)
        JobState.PENDING, JobState.RUNNING -> invariants.isFullyRunning(job)
        null -> false
    }

    private companion object {
        const val MAX_TRIES = 4
        const val POLL_INTERVAL_MS = 5_000L
    }
}
