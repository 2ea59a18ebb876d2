package ledgearch.recovery

import ledgearch.model.Job

/** Since when each open job has waited for room without a start, as far as this leader saw it during a recovery. */
internal class WaitingTimes {
    private val since = HashMap<Job, Long>()

    fun clear() = since.clear()

    /** These are all the jobs that wait at present. */
    fun look(
        waiting: Collection<Job>,
        nowMs: Long,
    ) {
        if (since.isNotEmpty()) since.keys.retainAll(waiting.toSet())
        waiting.forEach { since.putIfAbsent(it, nowMs) }
    }

    fun started(
        job: Job,
        nowMs: Long,
    ) {
        since.replace(job, nowMs)
    }

    fun waitedMs(
        job: Job,
        nowMs: Long,
    ): Long = since[job]?.let { nowMs - it } ?: 0L
}
