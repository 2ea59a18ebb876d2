package ledgearch.api

import ledgearch.http.Response
import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord

/**
 * An admitted job that waits to be accepted, with the requests that wait for its answer. A submission is an idempotent
 * request: repeats of it join the one under way.
 *
 * [queuedAt]: steady ms. [endedDependencies]: final records that were read for it, by job.
 */
internal class Submission(
    val record: JobRecord,
    val queuedAt: Long,
    val endedDependencies: Map<String, FinalRecord>,
) {
    /** The job's id. */
    val id: String get() = record.spec.id

    private val initial = ArrayList<Respond>()
    private val repeated = ArrayList<Respond>()
    private var sent = false

    /** Requests that came before the transaction was first sent: its result is their answer. */
    val initialRequests: List<Respond> get() = initial

    /**
     * Requests that came later. The transaction may have been committed, and a later state of the job reported, before
     * they came, so the state that the transaction gave the job may be too old for them.
     */
    val repeatedRequests: List<Respond> get() = repeated

    /** The same job was submitted again. */
    fun join(respond: Respond) {
        val requests = if (sent) repeated else initial
        requests.add(respond)
    }

    /** A request with this job's id, whose own body was refused, waits for the answer as a repeat. */
    fun joinAsRepeat(respond: Respond) {
        repeated.add(respond)
    }

    /** The transaction is about to be sent. */
    fun markSent() {
        sent = true
    }

    /** Gives every request the same answer; none of them waits any longer. */
    fun answer(response: Response) {
        initial.forEach { it(response) }
        repeated.forEach { it(response) }
        initial.clear()
        repeated.clear()
    }
}
