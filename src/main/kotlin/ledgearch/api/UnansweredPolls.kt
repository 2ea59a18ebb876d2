package ledgearch.api

import ledgearch.http.HttpStatus
import ledgearch.http.Response
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** The job whose polls have failed at this node for the longest time. */
internal class LongestUnanswered(
    val jobId: String,
    /** Time since the first failed poll after the last answer, in ms. */
    val unansweredMs: Long,
    /** Label of the reason why the last poll failed. */
    val reason: String,
)

/**
 * Records for how long the polls of each job have failed at this node. A job that nobody has polled here for
 * [ApiTuning.UNANSWERED_JOB_KEPT_MS] is dropped: its user asks another node.
 */
internal class UnansweredPolls(
    private val clock: Clock,
) {
    private class UnansweredJob(
        val sinceMs: Long,
    ) {
        var lastPolledAtMs = sinceMs
        var reason = ""
    }

    private val log = LoggerFactory.getLogger("ledgearch.api")
    private val jobs = HashMap<String, UnansweredJob>()
    private var nextCheckAtMs = Long.MIN_VALUE

    /** Returns [respond] such that the response to a poll of the job [id] is recorded. */
    fun recording(
        id: String,
        respond: Respond,
    ): Respond {
        val receivedAtMs = clock.steadyMs
        return { response ->
            record(id, receivedAtMs, response)
            respond(response)
        }
    }

    private fun record(
        id: String,
        receivedAtMs: Long,
        response: Response,
    ) {
        if (response.status != HttpStatus.UNAVAILABLE) {
            jobs.remove(id)
            return
        }
        val job = jobs.getOrPut(id) { UnansweredJob(receivedAtMs) }
        job.lastPolledAtMs = clock.steadyMs
        job.reason = response.refusalLabel.orEmpty()
    }

    /** Returns the job without an answer for the longest time; null if every job polled here was answered last. */
    fun longest(): LongestUnanswered? {
        val (id, job) = jobs.entries.minByOrNull { it.value.sinceMs } ?: return null
        return LongestUnanswered(id, clock.steadyMs - job.sinceMs, job.reason)
    }

    /** Drops jobs that are no longer polled here, and warns if one has had no answer for long. */
    fun runDueWork() {
        if (jobs.isEmpty() || clock.steadyMs < nextCheckAtMs) return
        nextCheckAtMs = clock.steadyMs + ApiTuning.UNANSWERED_CHECK_INTERVAL_MS
        jobs.values.removeIf { clock.steadyMs - it.lastPolledAtMs > ApiTuning.UNANSWERED_JOB_KEPT_MS }
        val longest = longest() ?: return
        if (longest.unansweredMs < ApiTuning.UNANSWERED_WARNING_MS) return
        log.warn(
            "polls of a job are not answered; job={} ms={} reason={} jobsWithoutAnswer={}",
            longest.jobId,
            longest.unansweredMs,
            longest.reason,
            jobs.size,
        )
    }
}
