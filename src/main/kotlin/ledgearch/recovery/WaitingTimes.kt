package ledgearch.recovery

import ledgearch.model.Job

/** The times for which jobs have waited without the start of a task, measured by this leader during a recovery. */
internal class WaitingTimes {
    /** Steady-clock ms at which the wait of each job began. */
    private val waitingSinceMs = HashMap<Job, Long>()

    fun clear() = waitingSinceMs.clear()

    /** Updates the waits at [nowMs] (steady-clock ms), given all [waiting] jobs. */
    fun update(
        waiting: Collection<Job>,
        nowMs: Long,
    ) {
        if (waitingSinceMs.isNotEmpty()) waitingSinceMs.keys.retainAll(waiting.toSet())
        waiting.forEach { waitingSinceMs.putIfAbsent(it, nowMs) }
    }

    /** Restarts the wait of [job] when one of its tasks was started. */
    fun onTaskStarted(
        job: Job,
        nowMs: Long,
    ) {
        waitingSinceMs.replace(job, nowMs)
    }

    /** Returns the time in ms for which [job] has waited, or 0 if it does not wait. */
    fun waitedMs(
        job: Job,
        nowMs: Long,
    ): Long = waitingSinceMs[job]?.let { nowMs - it } ?: 0L
}
