package ledgearch.simulation.scenarios

import ledgearch.simulation.Simulation
import ledgearch.wire.JobState

/**
 * Users who ask about each of their open jobs again and again. A question without an answer within [ANSWER_LIMIT_MS]
 * has failed; it is then repeated at the other controllers in turn.
 */
internal class AskingUsers(
    private val simulation: Simulation,
    private val intervalMs: Long,
    /** Returns the controllers to which the load balancer sends users. */
    private val controllers: () -> List<String> = { simulation.nodes.filter { it.isHealthy }.map { it.name } },
) {
    private val clock get() = simulation.clock
    private val invariants get() = simulation.invariants

    /** The jobs whose users have begun to ask. */
    private val asked = HashSet<String>()

    /** Looks for newly accepted jobs from now on, and asks about each one every [intervalMs]. */
    fun begin() {
        for (job in invariants.acceptedJobs) {
            if (!invariants.isObservedEnded(job) && asked.add(job)) askRepeatedly(job)
        }
        clock.after(LOOK_INTERVAL_MS) { begin() }
    }

    /** Asks about each job that has ended, again every [intervalMs] until there is an answer. */
    fun askAboutEnded() = invariants.acceptedJobs.filter(invariants::isObservedEnded).forEach(::askUntilAnswered)

    private fun askUntilAnswered(job: String) {
        clock.after(simulation.random.nextLong(intervalMs)) { askAndRepeatUntilAnswered(job) }
    }

    private fun askAndRepeatUntilAnswered(job: String) {
        if (invariants.unansweredJobs.isAnswered(job)) return
        ask(job, controllers().shuffled(simulation.random))
        clock.after(intervalMs) { askAndRepeatUntilAnswered(job) }
    }

    private fun askRepeatedly(job: String) {
        clock.after(simulation.random.nextLong(intervalMs)) { askAndRepeat(job) }
    }

    private fun askAndRepeat(job: String) {
        if (invariants.isObservedEnded(job)) return
        ask(job, controllers().shuffled(simulation.random))
        clock.after(intervalMs) { askAndRepeat(job) }
    }

    /** Asks the first of [nodes] about [job], and the next one if that fails. */
    private fun ask(
        job: String,
        nodes: List<String>,
    ) {
        val node = nodes.firstOrNull() ?: return recordFailure(job, nodes)
        var isOver = false
        simulation.poll(job, node) { status, state ->
            if (!isOver) {
                isOver = true
                onReply(job, nodes, status, state)
            }
        }
        clock.after(ANSWER_LIMIT_MS) {
            if (!isOver) {
                isOver = true
                recordFailure(job, nodes)
            }
        }
    }

    private fun onReply(
        job: String,
        nodes: List<String>,
        status: Int,
        state: JobState?,
    ) {
        if (state != null || status == NOT_FOUND) {
            invariants.unansweredJobs.record(job, isAnswered = true, clock.nowMs)
        } else {
            recordFailure(job, nodes)
        }
    }

    private fun recordFailure(
        job: String,
        nodes: List<String>,
    ) {
        invariants.unansweredJobs.record(job, isAnswered = false, clock.nowMs)
        val others = nodes.drop(1)
        if (others.isNotEmpty()) clock.after(REPEAT_DELAY_MS) { ask(job, others) }
    }

    private companion object {
        const val ANSWER_LIMIT_MS = 2_000L
        const val REPEAT_DELAY_MS = 1_000L
        const val LOOK_INTERVAL_MS = 1_000L
        const val NOT_FOUND = 404
    }
}
