package ledgearch.api

import ledgearch.http.HttpStatus
import ledgearch.http.Response
import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.runtime.Metrics
import ledgearch.wire.ErrorBody
import ledgearch.wire.JobState
import ledgearch.wire.JobStatus
import ledgearch.wire.WireJson

/** Sends the response to a request; called exactly once per request. */
internal typealias Respond = (Response) -> Unit

/** Returns the response to a failed request, with the HTTP [status] and [reason] as the error text of its body. */
internal fun errorResponse(
    status: Int,
    reason: String,
) = Response(status, WireJson.encodeToString(ErrorBody.serializer(), ErrorBody(reason)))

/**
 * Builds the responses to requests about jobs; the callers decide whether the state that they report is up to date.
 * [retryAfterS] is the `Retry-After` of a 503 in seconds; the [metrics] count each 503 by its reason.
 */
internal class JobResponses(
    private val leadership: LeadershipView,
    private val retryAfterS: Int,
    private val metrics: Metrics,
) {
    /** Returns a 201: the job [id] was accepted and is in [state]. */
    fun accepted(
        id: String,
        state: JobState,
    ) = response(HttpStatus.CREATED, JobStatus(id, state))

    /**
     * Returns a 200: [job] is open. The leader takes its progress from the job's tasks, the other nodes from the
     * leader's last status.
     */
    fun open(job: Job): Response {
        val running = if (leadership.isLeader) job.runningCount else job.lastProgress?.runningTasks ?: 0
        val done = if (leadership.isLeader) job.finishedCount else job.lastProgress?.finishedTasks ?: 0
        val state = if (running > 0) JobState.RUNNING else JobState.PENDING
        return response(HttpStatus.OK, JobStatus(job.id, state, done, running))
    }

    /** Returns a 200: the job [id] is open, and this node has no view of its progress. */
    fun pending(id: String) = response(HttpStatus.OK, JobStatus(id, JobState.PENDING))

    /** Returns a 200: the job [id] has ended with [record]. */
    fun ended(
        id: String,
        record: FinalRecord,
    ): Response {
        val done = if (record.state == JobState.DONE) record.taskCount else 0
        return response(HttpStatus.OK, JobStatus(id, record.state, done, 0))
    }

    /** Returns a 200: a dependency of the job [id] was cancelled, so that none of its tasks ever starts. */
    fun cancelledWithDependency(id: String) = response(HttpStatus.OK, JobStatus(id, JobState.CANCELLED))

    /** Returns a 404: the job was never accepted. */
    fun jobNotFound() = errorResponse(HttpStatus.NOT_FOUND, "no such job")

    /** Returns a 503 with a `Retry-After`: the request can't be served now, for [reason], which is counted. */
    fun unavailable(reason: UnavailableReason): Response {
        metrics.count("unavailable.${reason.label}")
        return Response(HttpStatus.UNAVAILABLE, UNAVAILABLE_BODY, retryAfterS, reason.label)
    }

    private fun response(
        status: Int,
        body: JobStatus,
    ) = Response(status, WireJson.encodeToString(JobStatus.serializer(), body))

    private companion object {
        const val UNAVAILABLE_BODY = """{"error":"try again later"}"""
    }
}
