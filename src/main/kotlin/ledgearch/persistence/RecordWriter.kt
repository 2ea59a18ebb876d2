package ledgearch.persistence

import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.records.CatalogRecord
import ledgearch.records.FinalRecord
import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import ledgearch.wire.Condition
import ledgearch.wire.JobState
import ledgearch.wire.KeyValue

/**
 * Makes durable what the leader decides, in batches of one transaction at a time. Each compares the leadership: a
 * transaction that is applied late, when another leadership record was written, changes nothing. Applied late under the
 * same token it does not change anything either that was written since, as every key is compared too ([KeyRevisions];
 * for a job that closes, the revision of its own open record).
 */
internal class RecordWriter(
    private val state: StoreClient,
    private val election: Election,
    jobStore: JobStore,
    private val clock: Clock,
    valueBytes: Int,
) {
    /** Changes with every leadership term: what an earlier term's transactions made durable does not count for it. */
    private var term = 0
    private var keyRevisions = KeyRevisions(state)

    /** A transaction, or the reads after one that conflicted, is under way. */
    private var isBusy = false
    private var retryAt = Long.MIN_VALUE
    private val oversized = OversizedRecords(clock)
    private val machines = MachineRecords(valueBytes, state.maxChanges)
    private val closings = JobClosings(jobStore, ClosingEvents())
    private val removals = KeyRemovals()
    private val finishedTasks = FinishedTaskWrites(valueBytes, jobStore, removals, clock)
    private val catalogWrites = CatalogWrites(valueBytes)

    /** In the order in which they fill a batch. */
    private val collectors: List<RecordCollector> = listOf(machines, closings, finishedTasks, removals, catalogWrites)

    /** Called when the final record of a job is durable. */
    var onClosed: (Job, FinalRecord) -> Unit = { _, _ -> }

    /** Forgets everything: a leadership term has ended. */
    fun clear() {
        term++
        keyRevisions = KeyRevisions(state)
        isBusy = false
        machines.clear()
        closings.clear()
        removals.clear()
        finishedTasks.clear()
        catalogWrites.clear()
        oversized.clear()
    }

    /** [machine] belongs to the cluster, or something that its record tells has changed. */
    fun putMachine(machine: Machine) = machines.put(machine)

    /** [machine] does not belong to the cluster any more. */
    fun removeMachine(machine: Machine) = machines.remove(machine)

    /** The machines of the record [stored] that an earlier leader wrote under [name]; null when it can't be read. */
    fun restore(
        name: String,
        stored: KeyValue,
        teams: TeamQuotas,
        nowMs: Long,
    ): List<Machine>? = machines.restore(name, stored, teams, nowMs)

    /** Removes [key]. */
    fun remove(key: String) = removals.add(key)

    /** A new leader has read [key], last changed at [modRevision]. */
    fun keyRead(
        key: String,
        modRevision: Long,
    ) = keyRevisions.set(key, modRevision)

    /** Writes the final record of [job], which is over in [state]. A job that is being closed already is left alone. */
    fun close(
        job: Job,
        state: JobState,
    ) = closings.add(job, state)

    /** Writes the finished tasks of [job] when that is due. */
    fun writeFinishedTasks(job: Job) = finishedTasks.add(job)

    /**
     * Writes the catalog. One that is too large is not kept: nodes that start while the cloud is out then wait for the
     * cloud, or know an older catalog.
     */
    fun writeCatalog(record: CatalogRecord) = catalogWrites.put(record)

    /** Writes the next batch, if there is anything to write and no other transaction under way. */
    fun drive() {
        if (isBusy || !election.isLeader || clock.steadyMs < retryAt) return
        val entries = collect()
        if (entries.isNotEmpty()) write(entries)
    }

    private fun collect(): List<BatchEntry> {
        val batch = Batch(state.maxChanges, oversized)
        for (collector in collectors) {
            if (!collector.collect(batch)) break
        }
        return batch.entries
    }

    private fun write(entries: List<BatchEntry>) {
        isBusy = true
        val sentAt = clock.steadyMs
        val sentUnder = election.token
        val sentInTerm = term
        val conditions = conditions(entries)
        state.transact(conditions, entries.flatMap { it.changes }, RequestClass.ORDINARY) { result ->
            if (term != sentInTerm) return@transact
            isBusy = false
            oversized.batchAnswered()
            when (result) {
                is TransactionResult.Committed -> {
                    election.recordConfirmation(sentAt, sentUnder)
                    committed(entries, result.revision)
                }

                is TransactionResult.Conflict -> {
                    conflicted(result.failed.toSet(), conditions, sentUnder)
                }

                TransactionResult.TooLarge -> {
                    oversized.rejected(entries)
                }

                TransactionResult.LeaseExpired,
                TransactionResult.Refused,
                TransactionResult.Unknown,
                -> {
                    retryAt = clock.steadyMs + StoreTuning.RETRY_PAUSE_MS
                }
            }
        }
    }

    private fun conditions(entries: List<BatchEntry>): List<Condition> {
        val conditions = ArrayList<Condition>()
        conditions.add(election.condition)
        for (entry in entries) {
            val job = entry.closedJob
            if (job == null) {
                conditions.addAll(keyRevisions.conditions(entry.changes))
            } else {
                conditions.add(Condition(Keys.job(job.id), job.modRevision))
            }
        }
        return conditions
    }

    private fun committed(
        entries: List<BatchEntry>,
        revision: Long,
    ) {
        for (entry in entries) {
            if (entry.closedJob == null) keyRevisions.written(entry.changes, revision)
            entry.onWritten()
        }
    }

    /**
     * The comparisons of [failedKeys] failed, so that nothing was written: what is to be compared is put right before
     * the next try.
     */
    private fun conflicted(
        failedKeys: Set<String>,
        conditions: List<Condition>,
        sentUnder: Long,
    ) {
        val isLeadershipDoubted = Keys.leadership(0) in failedKeys
        val pauseMs =
            if (failedKeys.isEmpty() || isLeadershipDoubted) StoreTuning.RETRY_PAUSE_MS else RuntimeTuning.TICK_MS
        retryAt = clock.steadyMs + pauseMs
        if (isLeadershipDoubted) election.verifyLeadership(sentUnder)
        val failedInTerm = term
        val toRead = ArrayList<String>()
        for (condition in conditions) {
            val key = condition.key
            if (key !in failedKeys || key == Keys.leadership(0)) continue
            if (key.startsWith(Keys.JOBS)) {
                closings.conflicted(key.removePrefix(Keys.JOBS), condition.modRevision)
            } else {
                toRead.add(key)
            }
        }
        isBusy = true
        keyRevisions.readAgain(toRead) { if (term == failedInTerm) isBusy = false }
    }

    private inner class ClosingEvents : JobClosingListener {
        override fun forgotten(job: Job) = finishedTasks.forget(job)

        override fun closed(
            job: Job,
            record: FinalRecord,
        ) = onClosed(job, record)
    }
}
