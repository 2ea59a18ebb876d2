package ledgearch.api

import ledgearch.http.Response
import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord

/**
 * A job that passed all checks and waits for its durable record, with the requests that wait for a response.
 * Submissions are idempotent: a repeated request joins the queued one.
 *
 * [queuedAtMs] is on the steady clock. [dependencyFinalRecords] holds the final records that the check of its
 * dependencies read, by job id.
 */
internal class Submission(
    val record: JobRecord,
    val queuedAtMs: Long,
    val dependencyFinalRecords: Map<String, FinalRecord>,
) {
    /** The job's id. */
    val id: String get() = record.spec.id

    private val initial = ArrayList<Respond>()
    private val repeated = ArrayList<Respond>()
    private var isSent = false

    /** Requests that arrived before the transaction was first sent; its result determines their response. */
    val initialRequests: List<Respond> get() = initial

    /**
     * Requests that arrived later. The transaction may have been committed, and a later state of the job reported,
     * before they arrived, so the result of the transaction may be too old for them.
     */
    val repeatedRequests: List<Respond> get() = repeated

    /** Adds a request that submits this job. */
    fun join(respond: Respond) {
        val requests = if (isSent) repeated else initial
        requests.add(respond)
    }

    /** Adds a request with this job's id whose own body was rejected, as a repeated request. */
    fun joinAsRepeat(respond: Respond) {
        repeated.add(respond)
    }

    /** Records that a transaction with this submission is about to be sent. */
    fun markSent() {
        isSent = true
    }

    /** Sends [response] to all requests and removes them. */
    fun respondToAll(response: Response) {
        initial.forEach { it(response) }
        repeated.forEach { it(response) }
        initial.clear()
        repeated.clear()
    }
}
