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
 * Cancellations of jobs. Marks a job's open record as cancelled, which makes the user's request durable, and answers
 * once the job is over; the leader carries the cancellation out.
 */
internal class Cancellations(
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val clock: Clock,
    private val lookup: JobLookup,
    private val answers: JobAnswers,
) {
    /** A cancellation that came at [receivedAt] (steady ms). */
    private class Cancellation(
        val receivedAt: Long,
        val respond: Respond,
    )

    /** By job: the requests that wait for its end. */
    private val waiting = HashMap<String, MutableList<Cancellation>>()

    /** By job whose mark is being written: when it may be written again (steady ms). */
    private val markAgainAt = HashMap<String, Long>()

    /** A user cancels the job [id]. */
    fun add(
        id: String,
        respond: Respond,
    ) {
        if (!Validation.isJobId(id)) return respond(answers.unknownJob())
        jobStore.finalRecord(id)?.let { return respond(answers.over(id, it)) }
        val cancellation = Cancellation(clock.steadyMs, respond)
        if (jobStore.jobs.containsKey(id)) return awaitEnd(id, cancellation)
        // It may have been accepted at another node a moment ago; only an end is an answer to a cancellation.
        lookup.read(id, respond, unknown = { respond(answers.unknownJob()) }) { open ->
            openRecordRead(id, cancellation, open)
        }
    }

    /** The job [id] is over: answers the requests that wait for that. */
    fun closed(id: String) {
        markAgainAt.remove(id)
        val cancellations = waiting.remove(id) ?: return
        val answer = jobStore.finalRecord(id)?.let { answers.over(id, it) } ?: answers.tryAgain()
        cancellations.forEach { it.respond(answer) }
    }

    /** Turns away the requests that have waited too long, or whose job's end this node can't learn now. */
    fun expire() {
        val lists = waiting.values.iterator()
        while (lists.hasNext()) {
            val list = lists.next()
            list.removeAll(::expired)
            if (list.isEmpty()) lists.remove()
        }
        if (state.isRefused) turnAwayMarked()
    }

    /** Marks the jobs that are to be cancelled and are not marked yet. */
    fun markOpenJobs() {
        for (id in waiting.keys) {
            val job = jobStore.jobs[id] ?: continue
            if (!job.record.cancelRequested) mark(job.record, job.modRevision)
        }
    }

    private fun awaitEnd(
        id: String,
        cancellation: Cancellation,
    ) {
        waiting.getOrPut(id) { ArrayList() }.add(cancellation)
    }

    /** The open record of the job [id] was read as [open]; the job may have ended since. */
    private fun openRecordRead(
        id: String,
        cancellation: Cancellation,
        open: KeyValue,
    ) {
        jobStore.finalRecord(id)?.let { return cancellation.respond(answers.over(id, it)) }
        val record = decodeRecord(JobRecord.serializer(), open.value) ?: return cancellation.respond(answers.tryAgain())
        awaitEnd(id, cancellation)
        if (!record.cancelRequested) mark(record, open.modRevision)
    }

    /** Turns [cancellation] away if it has waited too long; returns whether it did. */
    private fun expired(cancellation: Cancellation): Boolean {
        if (clock.steadyMs - cancellation.receivedAt < ApiTuning.CANCELLATION_TIMEOUT_MS) return false
        cancellation.respond(answers.tryAgain())
        return true
    }

    /** The requests for marked jobs are durable already, and this node can't see those jobs end now. */
    private fun turnAwayMarked() {
        val lists = waiting.entries.iterator()
        while (lists.hasNext()) {
            val (id, cancellations) = lists.next()
            if (jobStore.jobs[id]?.record?.cancelRequested != true) continue
            cancellations.forEach { it.respond(answers.tryAgain()) }
            lists.remove()
        }
    }

    /** Marks [record], as it stands at [modRevision], as cancelled, unless that was tried a moment ago. */
    private fun mark(
        record: JobRecord,
        modRevision: Long,
    ) {
        val id = record.spec.id
        if (clock.steadyMs < (markAgainAt[id] ?: Long.MIN_VALUE)) return
        markAgainAt[id] = clock.steadyMs + StoreTuning.REQUEST_TIMEOUT_MS
        val value = encodeRecord(JobRecord.serializer(), record.copy(cancelRequested = true))
        val condition = Condition(Keys.job(id), modRevision)
        val change = Change(put = Keys.job(id), value = value)
        state.transact(listOf(condition), listOf(change), RequestClass.ORDINARY) { marked(id, it) }
    }

    private fun marked(
        id: String,
        result: TransactionResult,
    ) {
        // Once it is written, the watch brings the mark.
        markAgainAt[id] = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
        when (result) {
            // The user's next request tries again.
            TransactionResult.Refused, TransactionResult.TooLarge -> {
                markAgainAt.remove(id)
                waiting.remove(id)?.forEach { it.respond(answers.tryAgain()) }
            }

            // Over, or marked by another node, and this node's job store is behind.
            is TransactionResult.Conflict -> {
                lookup.refreshFinal(id)
            }

            is TransactionResult.Committed, TransactionResult.LeaseExpired, TransactionResult.Unknown -> {
                Unit
            }
        }
    }
}
