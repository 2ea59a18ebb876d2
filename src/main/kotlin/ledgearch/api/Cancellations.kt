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
 * Cancellations of jobs: marks the open record as cancelled, which makes the user's wish durable, and answers once the
 * job is over. The block's leader carries the wish out.
 */
internal class Cancellations(
    private val jobStore: JobStore,
    private val state: StoreClient,
    private val clock: Clock,
    private val lookup: JobLookup,
    private val answers: JobAnswers,
) {
    private class Cancellation(
        val since: Long,
        val respond: Respond,
    )

    private val waiting = HashMap<String, MutableList<Cancellation>>()

    /** Jobs whose mark is being written, and when it may be written again (steady ms). */
    private val markAgainAt = HashMap<String, Long>()

    /** A user wants the job [id] cancelled. */
    fun add(
        id: String,
        respond: Respond,
    ) {
        if (!Validation.isJobId(id)) return respond(answers.unknownJob())
        jobStore.final(id)?.let { return respond(answers.over(id, it)) }
        val cancellation = Cancellation(clock.steadyMs, respond)
        if (jobStore.jobs.containsKey(id)) return await(id, cancellation)
        // Accepted at another node a moment ago, perhaps: only an end is an answer to a cancellation.
        lookup.read(id, respond, unknown = { respond(answers.unknownJob()) }) { open ->
            foundOpen(id, cancellation, open)
        }
    }

    /** The job [id] is over: whoever waits for that is told. */
    fun closed(id: String) {
        markAgainAt.remove(id)
        val told = waiting.remove(id) ?: return
        val answer = jobStore.final(id)?.let { answers.over(id, it) } ?: answers.tryAgain()
        told.forEach { it.respond(answer) }
    }

    /** Turns away those that have waited too long, or whose end can't be learnt now. */
    fun expire() {
        val lists = waiting.values.iterator()
        while (lists.hasNext()) {
            val list = lists.next()
            list.removeAll(::isTurnedAway)
            if (list.isEmpty()) lists.remove()
        }
        if (state.refuses) turnAwayMarked()
    }

    /** Marks the jobs that are to be cancelled and are not marked yet. */
    fun markOpenJobs() {
        for (id in waiting.keys) {
            val job = jobStore.jobs[id] ?: continue
            if (!job.record.cancelRequested) mark(job.record, job.modRevision)
        }
    }

    private fun await(
        id: String,
        cancellation: Cancellation,
    ) {
        waiting.getOrPut(id) { ArrayList() }.add(cancellation)
    }

    private fun foundOpen(
        id: String,
        cancellation: Cancellation,
        open: KeyValue,
    ) {
        jobStore.final(id)?.let { return cancellation.respond(answers.over(id, it)) }
        val record = decodeRecord(JobRecord.serializer(), open.value) ?: return cancellation.respond(answers.tryAgain())
        await(id, cancellation)
        if (!record.cancelRequested) mark(record, open.modRevision)
    }

    private fun isTurnedAway(cancellation: Cancellation): Boolean {
        if (clock.steadyMs - cancellation.since < ApiTuning.CANCEL_MS) return false
        cancellation.respond(answers.tryAgain())
        return true
    }

    /** The wish is durable already; the end can't be seen by this node now. */
    private fun turnAwayMarked() {
        val marked = waiting.entries.iterator()
        while (marked.hasNext()) {
            val (id, list) = marked.next()
            if (jobStore.jobs[id]?.record?.cancelRequested != true) continue
            list.forEach { it.respond(answers.tryAgain()) }
            marked.remove()
        }
    }

    private fun mark(
        record: JobRecord,
        modRevision: Long,
    ) {
        val id = record.spec.id
        if (clock.steadyMs < (markAgainAt[id] ?: Long.MIN_VALUE)) return
        markAgainAt[id] = clock.steadyMs + StoreTuning.STATE_MS
        val value = encodeRecord(JobRecord.serializer(), record.copy(cancelRequested = true))
        val condition = Condition(Keys.job(id), modRevision)
        val change = Change(put = Keys.job(id), value = value)
        state.transact(listOf(condition), listOf(change), RequestClass.ORDINARY) { marked(id, it) }
    }

    private fun marked(
        id: String,
        result: TransactionResult,
    ) {
        // Once written, the watch brings the mark.
        markAgainAt[id] = clock.steadyMs + StoreTuning.STATE_RETRY_MS
        when (result) {
            // It is tried again when a user asks again.
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
