package ledgearch.recovery

import ledgearch.model.Job

/** Since when each open job has waited for room without a start, as far as this leader saw it during a recovery. */
internal class WaitingTimes {
    /** Steady ms by job. */
    private val waitingSince = HashMap<Job, Long>()

    fun clear() = waitingSince.clear()

    /** [waiting] are all the jobs that wait at [nowMs] (steady ms). */
    fun update(
        waiting: Collection<Job>,
        nowMs: Long,
    ) {
        if (waitingSince.isNotEmpty()) waitingSince.keys.retainAll(waiting.toSet())
        waiting.forEach { waitingSince.putIfAbsent(it, nowMs) }
    }

    /** A task of [job] was started: its waiting begins anew. */
    fun started(
        job: Job,
        nowMs: Long,
    ) {
        waitingSince.replace(job, nowMs)
    }

    /** ms for which [job] has waited, 0 if it does not wait. */
    fun waitedMs(
        job: Job,
        nowMs: Long,
    ): Long = waitingSince[job]?.let { nowMs - it } ?: 0L
}
