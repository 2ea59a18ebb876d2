package ledgearch.model

/** Why a machine was quarantined. */
internal enum class QuarantineCause(
    /** Name in logs and metrics. */
    val label: String,
) {
    /** Tasks of several jobs failed on the machine. */
    SEVERAL_JOBS("several_jobs"),

    /** Tasks failed on the machine whose job completes elsewhere. */
    COMPLETES_ELSEWHERE("completes_elsewhere"),

    /** An earlier leader recorded the quarantine; its evidence is not known. */
    RECORDED("recorded"),
}

/**
 * The quarantine of a machine on which tasks fail: it gets only single tasks as trials, with pauses that grow with each
 * trial that fails. Times are steady-clock ms.
 */
internal class Quarantine(
    cause: QuarantineCause,
    val sinceMs: Long,
) {
    /** The strongest reason so far. */
    var cause = cause
        private set

    /** Whether the machine is faulty without doubt, since jobs whose tasks fail on it work elsewhere. */
    val isCertain: Boolean get() = cause == QuarantineCause.COMPLETES_ELSEWHERE

    private var failedTrials = 0

    /** The task that was started last as a trial. */
    private var trial: TaskAttempt? = null

    /** Time before which no trial is started. */
    private var nextTrialAtMs = sinceMs + trialPauseMs()

    /** Time of the failure that counted last: the one that began the quarantine, or that of a trial. */
    var lastEvidenceAtMs = sinceMs
        private set

    /** Records that jobs whose tasks fail on the machine work elsewhere. */
    fun markCertain(nowMs: Long) {
        if (isCertain) return
        cause = QuarantineCause.COMPLETES_ELSEWHERE
        nextTrialAtMs = nowMs + trialPauseMs()
    }

    /** Returns whether a task may be started as a trial. */
    fun mayTry(nowMs: Long): Boolean = nowMs >= nextTrialAtMs

    /** Records that [attempt] was started as a trial. */
    fun beginTrial(
        attempt: TaskAttempt,
        nowMs: Long,
    ) {
        trial = attempt
        nextTrialAtMs = nowMs + trialPauseMs()
    }

    /** Returns whether [attempt] is the last trial. */
    fun isTrial(attempt: TaskAttempt): Boolean = trial === attempt

    /** Records that the last trial has failed. */
    fun recordFailedTrial(nowMs: Long) {
        failedTrials++
        lastEvidenceAtMs = nowMs
        nextTrialAtMs = nowMs + trialPauseMs()
    }

    /** Returns whether the last trial runs, and has done so for [ModelTuning.SOUND_RUN_MS]. */
    fun hasTrialPassed(nowMs: Long): Boolean = trial?.hasRunWell(nowMs) == true

    private fun trialPauseMs(): Long {
        val doublings = minOf(failedTrials, ModelTuning.MAX_TRIAL_PAUSE_DOUBLINGS)
        return if (isCertain) {
            minOf(ModelTuning.FIRST_CERTAIN_TRIAL_PAUSE_MS shl doublings, ModelTuning.MAX_CERTAIN_TRIAL_PAUSE_MS)
        } else {
            minOf(ModelTuning.FIRST_TRIAL_PAUSE_MS shl doublings, ModelTuning.MAX_TRIAL_PAUSE_MS)
        }
    }
}
