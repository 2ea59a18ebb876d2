package ledgearch.simulation.invariants

/**
 * Checks, once no fault is left, that no accepted job has a stretch of [FORGOTTEN_AFTER_MS] in which every question of
 * its users fails, however the questions about other jobs fare.
 */
internal class UnansweredJobs(
    private val reportViolation: (rule: String, details: String) -> Unit,
) {
    private val answeredAtMs = HashMap<String, Long>()
    private val answered = HashSet<String>()
    private val reported = HashSet<String>()
    private var watchedSinceMs = Long.MAX_VALUE

    private var answeredCount = 0
    private var failedCount = 0
    private var longestMs = 0L

    /** Counts of questions since [watch], and the longest stretch without an answer. */
    val summary: String get() = "$answeredCount questions answered, $failedCount failed, longest without $longestMs ms"

    /** Checks all questions that end after [nowMs]. */
    fun watch(nowMs: Long) {
        watchedSinceMs = nowMs
    }

    /** Records the end of a question about [job] at [nowMs]; it failed unless [isAnswered]. */
    fun record(
        job: String,
        isAnswered: Boolean,
        nowMs: Long,
    ) {
        if (nowMs < watchedSinceMs) return
        if (isAnswered) answeredCount++ else failedCount++
        val sinceMs = answeredAtMs.getOrPut(job) { nowMs }
        val stretchMs = nowMs - sinceMs
        longestMs = maxOf(longestMs, stretchMs)
        if (isAnswered) {
            answeredAtMs[job] = nowMs
            answered.add(job)
        }
        if (!isAnswered && stretchMs >= FORGOTTEN_AFTER_MS && reported.add(job)) {
            reportViolation("forgotten", "$job: every question failed for $stretchMs ms")
        }
    }

    /** Returns whether a question about [job] has had an answer since [watch]. */
    fun isAnswered(job: String) = job in answered

    companion object {
        const val FORGOTTEN_AFTER_MS = 75_000L
    }
}
