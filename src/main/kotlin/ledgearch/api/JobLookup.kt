package ledgearch.api

import ledgearch.jobs.JobReadResult
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.records.JobRecord
import ledgearch.records.decodeRecord
import ledgearch.wire.KeyValue

/** Serves requests by reading the records of single jobs, and limits the number of lookups in flight. */
internal class JobLookup(
    private val jobStore: JobStore,
    private val responses: JobResponses,
) {
    private var inFlight = 0

    /** Whether the limit of lookups in flight is reached. */
    val isFull: Boolean get() = inFlight >= ApiTuning.MAX_PENDING_REQUESTS

    /** Counts a lookup as in flight until the returned function, which calls [done], is called. */
    fun <T> countInFlight(done: (T) -> Unit): (T) -> Unit {
        inFlight++
        return { result ->
            inFlight--
            done(result)
        }
    }

    /** Reads the job [id] and responds with its state, or calls [onAbsent] if it was never accepted. */
    fun respondWithState(
        id: String,
        respond: Respond,
        onAbsent: () -> Unit,
    ) = read(id, respond, onAbsent) { stored -> respond(openJobResponse(id, stored)) }

    /** Reads the final record of the job [id], which has ended, and responds with its state. */
    fun respondWithFinalState(
        id: String,
        respond: Respond,
    ) {
        if (isFull) return respond(responses.unavailable(UnavailableReason.LOOKUPS_FULL))
        val done =
            countInFlight<JobReadResult> { result ->
                val record = (result as? JobReadResult.Ended)?.record
                respond(
                    record?.let { responses.ended(id, it) } ?: responses.unavailable(UnavailableReason.LOOKUP_FAILED),
                )
            }
        jobStore.recordReader.readFinalRecord(id, done)
    }

    /**
     * Reads the job [id] and calls [onOpen] with its open record, or [onAbsent] if it was never accepted. Responds
     * itself if the job has ended, if the state service gives no conclusive reply and if [isFull].
     */
    fun read(
        id: String,
        respond: Respond,
        onAbsent: () -> Unit,
        onOpen: (KeyValue) -> Unit,
    ) {
        if (isFull) return respond(responses.unavailable(UnavailableReason.LOOKUPS_FULL))
        val done =
            countInFlight<JobReadResult> { result ->
                when (result) {
                    is JobReadResult.Open -> onOpen(result.stored)
                    is JobReadResult.Ended -> respond(responses.ended(id, result.record))
                    JobReadResult.Absent -> onAbsent()
                    JobReadResult.Unknown -> respond(responses.unavailable(UnavailableReason.LOOKUP_FAILED))
                }
            }
        jobStore.recordReader.read(id, done)
    }

    /** Reads the final record of the job [id], if it has one, into the job store. */
    fun refreshFinalRecord(id: String) = jobStore.recordReader.readFinalRecord(id, countInFlight { })

    /** Returns the response for a job whose open record was read as [stored]; the job may have ended since. */
    private fun openJobResponse(
        id: String,
        stored: KeyValue,
    ) = jobStore.finalRecord(id)?.let { responses.ended(id, it) }
        ?: jobStore.jobs[id]?.let(::replicatedJobResponse)
        ?: unreplicatedJobResponse(id, stored)

    private fun replicatedJobResponse(job: Job) =
        when {
            job.hasCancelledDependency -> responses.cancelledWithDependency(job.id)

            // Its own record does not show whether one of them was cancelled.
            job.isBlockedByDependencies -> responses.unavailable(UnavailableReason.VIEW_TOO_OLD)

            else -> responses.open(job)
        }

    /** Returns the response for an open job that is not in this node's job store yet. */
    private fun unreplicatedJobResponse(
        id: String,
        stored: KeyValue,
    ) = if (decodeRecord(JobRecord.serializer(), stored.value)?.spec?.dependsOn != null) {
        // It may have been accepted long after a dependency was cancelled, which only the job store shows.
        responses.unavailable(UnavailableReason.DEPENDENCY_UNKNOWN)
    } else {
        responses.pending(id)
    }
}
