package ledgearch.control

import ledgearch.model.Job

/**
 * The leadership term of this node: its first fencing token and the numbers of the attempts started in it. Renewals of
 * the token stay within the term.
 */
internal class LeadershipTerm {
    /**
     * The token of the election that began the term, or 0 when this node does not lead. An agent that has seen it no
     * longer follows any earlier leader.
     */
    var firstToken = 0L
        private set
    private var attemptsStarted = 0L

    /** This node leads. */
    val isActive: Boolean get() = firstToken != 0L

    /** A number used twice could be taken for an attempt that has been running for a long time. */
    val attemptNumbersUsedUp: Boolean get() = attemptsStarted > ControlTuning.ATTEMPTS_PER_TERM

    /** This node leads from the election with [token] on. */
    fun begin(token: Long) {
        firstToken = token
        attemptsStarted = 0
    }

    /** This node no longer leads. */
    fun end() {
        firstToken = 0
    }

    /** A number that no other attempt has in any term. */
    fun nextAttemptNumber(): Long = (firstToken shl ControlTuning.ATTEMPT_BITS) or ++attemptsStarted

    /** [job] was last written after the election. */
    fun isNewer(job: Job): Boolean = job.modRevision > firstToken
}
