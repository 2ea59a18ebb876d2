package ledgearch.api

import ledgearch.jobs.JobStore
import ledgearch.records.JobRecord
import ledgearch.records.Keys
import ledgearch.records.decodeRecord
import ledgearch.records.encodeRecord
import ledgearch.runtime.Clock
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.KeyValue

/**
 * Handles requests to cancel jobs. Sets `cancelRequested` in the job's open record, which makes the request durable,
 * and responds once the job has ended. The leader stops the tasks and closes the job.
 */
internal class Cancellations(
    private val jobStore: JobStore,
    private val storeClient: StoreClient,
    private val clock: Clock,
    private val lookup: JobLookup,
    private val responses: JobResponses,
) {
    /** A request to cancel a job that arrived at [receivedAtMs] on the steady clock. */
    private class Cancellation(
        val receivedAtMs: Long,
        val respond: Respond,
    )

    /** The requests that wait for the end of a job, by job id. */
    private val waiting = HashMap<String, MutableList<Cancellation>>()

    /** For each job whose `cancelRequested` is being written, the steady-clock ms from which it is written again. */
    private val nextWriteAtMs = HashMap<String, Long>()

    /** Age in ms of the oldest request whose job has no durable `cancelRequested` yet; 0 if there is none. */
    val oldestUnwrittenMs: Long
        get() {
            val unwritten = waiting.filterKeys { jobStore.jobs[it]?.record?.cancelRequested == false }
            val oldest = unwritten.values.flatten().minOfOrNull { it.receivedAtMs } ?: return 0
            return clock.steadyMs - oldest
        }

    /** Adds a request to cancel the job [id]. */
    fun add(
        id: String,
        respond: Respond,
    ) {
        if (!Validation.isJobId(id)) return respond(responses.jobNotFound())
        jobStore.finalRecord(id)?.let { return respond(responses.ended(id, it)) }
        val cancellation = Cancellation(clock.steadyMs, respond)
        val job = jobStore.jobs[id]
        if (job?.hasCancelledDependency == true) return respond(responses.cancelledWithDependency(id))
        if (job != null) return awaitEnd(id, cancellation)
        // Another node may have accepted the job a moment ago. If it is open, the response must wait for its end.
        lookup.read(id, respond, onAbsent = { respond(responses.jobNotFound()) }) { stored ->
            onOpenRecordRead(id, cancellation, stored)
        }
    }

    /** Called when the job [id] has ended: responds to the requests that wait for its end. */
    fun onJobClosed(id: String) {
        nextWriteAtMs.remove(id)
        val cancellations = waiting.remove(id) ?: return
        val response =
            jobStore.finalRecord(id)?.let { responses.ended(id, it) }
                ?: responses.unavailable(UnavailableReason.FINAL_RECORD_MISSING)
        cancellations.forEach { it.respond(response) }
    }

    /**
     * Rejects the requests that have timed out and, while the state service refuses this node, those that are durable
     * already.
     */
    fun rejectExpired() {
        val lists = waiting.values.iterator()
        while (lists.hasNext()) {
            val list = lists.next()
            list.removeAll(::rejectIfExpired)
            if (list.isEmpty()) lists.remove()
        }
        if (storeClient.isRefused) rejectDurable()
    }

    /** Writes `cancelRequested` for the jobs whose cancellation is requested and not durable yet. */
    fun writeCancelRequests() {
        for (id in waiting.keys) {
            val job = jobStore.jobs[id] ?: continue
            if (!job.record.cancelRequested) writeCancelRequest(job.record, job.modRevision)
        }
    }

    private fun awaitEnd(
        id: String,
        cancellation: Cancellation,
    ) {
        waiting.getOrPut(id) { ArrayList() }.add(cancellation)
    }

    /** Called with the open record of the job [id] as it was [stored]; the job may have ended since. */
    private fun onOpenRecordRead(
        id: String,
        cancellation: Cancellation,
        stored: KeyValue,
    ) {
        jobStore.finalRecord(id)?.let { return cancellation.respond(responses.ended(id, it)) }
        val record =
            decodeRecord(JobRecord.serializer(), stored.value)
                ?: return cancellation.respond(responses.unavailable(UnavailableReason.UNREADABLE_RECORD))
        awaitEnd(id, cancellation)
        if (!record.cancelRequested) writeCancelRequest(record, stored.modRevision)
    }

    /** Rejects [cancellation] if it has timed out; returns whether it did. */
    private fun rejectIfExpired(cancellation: Cancellation): Boolean {
        if (clock.steadyMs - cancellation.receivedAtMs < ApiTuning.CANCELLATION_TIMEOUT_MS) return false
        cancellation.respond(responses.unavailable(UnavailableReason.CANCELLATION_TIMEOUT))
        return true
    }

    /** Rejects the requests that are durable already: this node can't see the end of their jobs now. */
    private fun rejectDurable() {
        val lists = waiting.entries.iterator()
        while (lists.hasNext()) {
            val (id, cancellations) = lists.next()
            if (jobStore.jobs[id]?.record?.cancelRequested != true) continue
            cancellations.forEach { it.respond(responses.unavailable(UnavailableReason.CANCELLATION_REFUSED)) }
            lists.remove()
        }
    }

    /** Sets `cancelRequested` in [record], stored at [modRevision], unless that was tried a moment ago. */
    private fun writeCancelRequest(
        record: JobRecord,
        modRevision: Long,
    ) {
        val id = record.spec.id
        if (clock.steadyMs < (nextWriteAtMs[id] ?: Long.MIN_VALUE)) return
        nextWriteAtMs[id] = clock.steadyMs + StoreTuning.REQUEST_TIMEOUT_MS
        val value = encodeRecord(JobRecord.serializer(), record.copy(cancelRequested = true))
        val condition = Condition(Keys.job(id), modRevision)
        val change = Change(put = Keys.job(id), value = value)
        storeClient.transact(listOf(condition), listOf(change), RequestClass.ORDINARY) { onWriteResult(id, it) }
    }

    private fun onWriteResult(
        id: String,
        result: TransactionResult,
    ) {
        // After a commit, the watch updates the job store, which ends the attempts to write.
        nextWriteAtMs[id] = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
        when (result) {
            // The user repeats the request.
            TransactionResult.Refused, TransactionResult.TooLarge -> {
                nextWriteAtMs.remove(id)
                waiting.remove(id)?.forEach {
                    it.respond(responses.unavailable(UnavailableReason.CANCELLATION_REFUSED))
                }
            }

            // The job has ended or another node has changed its record, and this node's job store is behind.
            is TransactionResult.Conflict -> {
                lookup.refreshFinalRecord(id)
            }

            is TransactionResult.Committed, TransactionResult.LeaseExpired, TransactionResult.Unknown -> {
                Unit
            }
        }
    }
}
