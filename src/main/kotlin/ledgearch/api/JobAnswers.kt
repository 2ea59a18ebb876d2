package ledgearch.api

import ledgearch.http.HttpStatus
import ledgearch.http.Response
import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.wire.ErrorBody
import ledgearch.wire.JobState
import ledgearch.wire.JobStatus
import ledgearch.wire.WireJson

/** Takes the answer to a request; called exactly once for each. */
internal typealias Respond = (Response) -> Unit

/** The answer with HTTP [status] to a request that failed; [reason] is the error text in its body. */
internal fun errorResponse(
    status: Int,
    reason: String,
) = Response(status, WireJson.encodeToString(ErrorBody.serializer(), ErrorBody(reason)))

/**
 * Builds the answers to requests about jobs. Whether an answer may be given is for the callers to decide.
 * [retryAfterS]: when a user who is turned away has to come back (seconds).
 */
internal class JobAnswers(
    private val leadership: LeadershipView,
    private val retryAfterS: Int,
) {
    /** 201: a submission was accepted and its job is in [state]. */
    fun accepted(
        id: String,
        state: JobState,
    ) = response(HttpStatus.CREATED, JobStatus(id, state))

    /**
     * 200: the open [job] with its progress, which the leader knows from the job's own tasks and the other nodes from
     * the leader's last status.
     */
    fun open(job: Job): Response {
        val running = if (leadership.isLeader) job.runningCount else job.lastProgress?.runningTasks ?: 0
        val done = if (leadership.isLeader) job.finishedCount else job.lastProgress?.finishedTasks ?: 0
        val state = if (running > 0) JobState.RUNNING else JobState.PENDING
        return response(HttpStatus.OK, JobStatus(job.id, state, done, running))
    }

    /** 200: the job [id] is open; nothing more is known of it here. */
    fun pending(id: String) = response(HttpStatus.OK, JobStatus(id, JobState.PENDING))

    /** 200: the job [id] is over. */
    fun over(
        id: String,
        record: FinalRecord,
    ): Response {
        val done = if (record.state == JobState.DONE) record.taskCount else 0
        return response(HttpStatus.OK, JobStatus(id, record.state, done, 0))
    }

    /** 404: the job was never accepted. */
    fun unknownJob() = errorResponse(HttpStatus.NOT_FOUND, "no such job")

    /** 503: nothing can be confirmed now; the user has to come back. */
    fun tryAgain() = Response(HttpStatus.UNAVAILABLE, TRY_AGAIN, retryAfterS)

    private fun response(
        status: Int,
        body: JobStatus,
    ) = Response(status, WireJson.encodeToString(JobStatus.serializer(), body))

    private companion object {
        const val TRY_AGAIN = """{"error":"try again later"}"""
    }
}
