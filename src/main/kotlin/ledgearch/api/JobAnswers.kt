package ledgearch.api

import ledgearch.http.HttpStatus
import ledgearch.http.Response
import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.wire.ErrorBody
import ledgearch.wire.JobState
import ledgearch.wire.JobStatus
import ledgearch.wire.WireJson

/** Takes the answer to a request. */
internal typealias Respond = (Response) -> Unit

/** The answer to a request that failed for the reason [why]. */
internal fun errorResponse(
    code: Int,
    why: String,
) = Response(code, WireJson.encodeToString(ErrorBody.serializer(), ErrorBody(why)))

/** Builds the answers to requests about jobs; whether an answer may be given is for its users to decide. */
internal class JobAnswers(
    private val leadership: LeadershipView,
    private val retryAfterS: Int,
) {
    /** A submission was accepted and its job is in [state]. */
    fun accepted(
        id: String,
        state: JobState,
    ) = status(HttpStatus.CREATED, JobStatus(id, state))

    /** The open job [job]; its progress is known from its own tasks on the leader, elsewhere from the leader's news. */
    fun open(job: Job): Response {
        val running = if (leadership.isLeader) job.runningCount else job.lastProgress?.running ?: 0
        val done = if (leadership.isLeader) job.finishedCount else job.lastProgress?.done ?: 0
        val state = if (running > 0) JobState.RUNNING else JobState.PENDING
        return status(HttpStatus.OK, JobStatus(job.id, state, done, running))
    }

    /** The job [id] is open; nothing more is known of it here. */
    fun pending(id: String) = status(HttpStatus.OK, JobStatus(id, JobState.PENDING))

    /** The job [id] is over. */
    fun over(
        id: String,
        record: FinalRecord,
    ): Response {
        val done = if (record.state == JobState.DONE) record.taskCount else 0
        return status(HttpStatus.OK, JobStatus(id, record.state, done, 0))
    }

    /** Nobody has submitted the job. */
    fun unknownJob() = errorResponse(HttpStatus.NOT_FOUND, "no such job")

    /** Nothing can be confirmed now. */
    fun tryAgain() = Response(HttpStatus.UNAVAILABLE, TRY_AGAIN, retryAfterS)

    private fun status(
        code: Int,
        body: JobStatus,
    ) = Response(code, WireJson.encodeToString(JobStatus.serializer(), body))

    private companion object {
        const val TRY_AGAIN = """{"error":"try again later"}"""
    }
}
