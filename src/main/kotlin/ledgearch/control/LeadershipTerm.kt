package ledgearch.control

import ledgearch.model.Job

/**
 * The leadership term of this node: its first fencing token and the attempt numbers assigned in it. A renewal of the
 * token does not begin a new term.
 */
internal class LeadershipTerm {
    /**
     * The fencing token of the election that began the term, or 0 when this node does not lead. An agent that has seen
     * it executes no commands of an earlier leader.
     */
    var firstToken = 0L
        private set
    private var attemptsStarted = 0L

    /** Whether a term is in progress. */
    val isActive: Boolean get() = firstToken != 0L

    /** Whether a new term is needed to assign more numbers: a reused one could be that of an attempt still running. */
    val areAttemptNumbersExhausted: Boolean get() = attemptsStarted > ControlTuning.MAX_ATTEMPTS_PER_TERM

    /** Begins the term of the election with [token]. */
    fun begin(token: Long) {
        firstToken = token
        attemptsStarted = 0
    }

    /** Ends the term. */
    fun end() {
        firstToken = 0
    }

    /** Returns a number that is unique among the attempts of all terms. */
    fun nextAttemptNumber(): Long = (firstToken shl ControlTuning.ATTEMPT_COUNTER_BITS) or ++attemptsStarted

    /** Returns whether the record of [job] was last written after the election that began the term. */
    fun wasWrittenInTerm(job: Job): Boolean = job.modRevision > firstToken
}
