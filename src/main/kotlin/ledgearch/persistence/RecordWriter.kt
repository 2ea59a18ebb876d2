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
 * Writes the leader's decisions to the state service in batches, one transaction at a time. Each transaction compares
 * the leadership record: one that is applied after another leadership record was written changes nothing. Each also
 * compares the revisions of the keys that it changes ([KeyRevisions]; for a job that is closed, that of its open
 * record), so that a late one under the same token overwrites no newer value.
 */
internal class RecordWriter(
    private val storeClient: StoreClient,
    private val election: Election,
    jobStore: JobStore,
    private val clock: Clock,
    maxValueBytes: Int,
) {
    /** Incremented at the end of every leadership term, so that results of transactions of that term are ignored. */
    private var term = 0
    private var keyRevisions = KeyRevisions(storeClient)

    /** True while a transaction, or the reads that follow a conflict, are pending. */
    var isWritePending = false
        private set
    private var retryAtMs = Long.MIN_VALUE
    private val oversizedEntries = OversizedEntries(clock)
    private val machines = MachineRecords(maxValueBytes, storeClient.maxChanges, clock)
    private val closings = PendingJobClosings(jobStore, ClosingEvents(), clock)
    private val removals = PendingKeyRemovals()
    private val finishedTasks = PendingFinishedTaskWrites(maxValueBytes, jobStore, removals, clock)
    private val catalogWrite = PendingCatalogWrite(maxValueBytes)

    /** All kinds of pending writes, in the order in which they are added to a batch. */
    private val pendingWrites: List<PendingWrites> = listOf(machines, closings, finishedTasks, removals, catalogWrite)

    /** Returns the final records and machine records that are not durable, by their kind. */
    fun report(): Map<String, PendingWriteReport> =
        mapOf(
            "final_records" to closings.report(),
            "machine_records" to machines.report(),
        )

    /** Called when this leader has written the final record of a job. */
    var onJobClosed: (Job, FinalRecord) -> Unit = { _, _ -> }

    /** Drops all pending writes when a leadership term has ended. */
    fun clear() {
        term++
        keyRevisions = KeyRevisions(storeClient)
        isWritePending = false
        machines.clear()
        closings.clear()
        removals.clear()
        finishedTasks.clear()
        catalogWrite.clear()
        oversizedEntries.clear()
    }

    /** Writes the record of [machine], which is new or has changed. */
    fun putMachine(machine: Machine) = machines.put(machine)

    /** Removes [machine] from its record. */
    fun removeMachine(machine: Machine) = machines.remove(machine)

    /** Returns the machines of the record [stored] under [name], read by a new leader; null if it can't be decoded. */
    fun restoreMachines(
        name: String,
        stored: KeyValue,
        teams: TeamQuotas,
        nowMs: Long,
    ): List<Machine>? = machines.restore(name, stored, teams, nowMs)

    /** Removes [key]. */
    fun removeKey(key: String) = removals.add(key)

    /** Records that a new leader has read [key] at [modRevision]. */
    fun setKeyRevision(
        key: String,
        modRevision: Long,
    ) = keyRevisions.set(key, modRevision)

    /** Writes the final record of [job] with [state], unless the job is already being closed. */
    fun closeJob(
        job: Job,
        state: JobState,
    ) = closings.add(job, state)

    /** Writes the finished tasks of [job] once the interval since the last write has passed. */
    fun writeFinishedTasks(job: Job) = finishedTasks.add(job)

    /**
     * Writes the catalog. A catalog that is larger than a value may be is not stored: nodes that start during a cloud
     * outage then wait for the cloud, or use an older catalog.
     */
    fun writeCatalog(record: CatalogRecord) = catalogWrite.put(record)

    /** Writes the next batch if there are pending writes, and neither a transaction nor a renewal is in flight. */
    fun runDueWork() {
        if (isWritePending || !election.isLeader || election.isRenewingToken || clock.steadyMs < retryAtMs) return
        val entries = collectEntries()
        if (entries.isNotEmpty()) write(entries)
    }

    private fun collectEntries(): List<BatchEntry> {
        val batch = Batch(storeClient.maxChanges, oversizedEntries)
        for (writes in pendingWrites) {
            if (!writes.addTo(batch)) break
        }
        return batch.entries
    }

    private fun write(entries: List<BatchEntry>) {
        isWritePending = true
        val sentAtMs = clock.steadyMs
        val sentToken = election.token
        val sentInTerm = term
        val conditions = createConditions(entries)
        storeClient.transact(conditions, entries.flatMap { it.changes }, RequestClass.ORDINARY) { result ->
            if (term != sentInTerm) return@transact
            isWritePending = false
            oversizedEntries.onBatchAnswered()
            when (result) {
                is TransactionResult.Committed -> {
                    election.recordConfirmation(sentAtMs, sentToken)
                    onCommitted(entries, result.revision)
                }

                is TransactionResult.Conflict -> {
                    onConflict(result.failedKeys.toSet(), conditions, sentToken)
                }

                TransactionResult.TooLarge -> {
                    oversizedEntries.onBatchTooLarge(entries)
                }

                TransactionResult.LeaseExpired,
                TransactionResult.Refused,
                TransactionResult.Unknown,
                -> {
                    retryAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
                }
            }
        }
    }

    private fun createConditions(entries: List<BatchEntry>): List<Condition> {
        val conditions = ArrayList<Condition>()
        conditions.add(election.condition)
        for (entry in entries) {
            val job = entry.closedJob
            if (job == null) {
                conditions.addAll(keyRevisions.conditionsFor(entry.changes))
            } else {
                conditions.add(Condition(Keys.job(job.id), job.modRevision))
            }
        }
        return conditions
    }

    private fun onCommitted(
        entries: List<BatchEntry>,
        revision: Long,
    ) {
        for (entry in entries) {
            if (entry.closedJob == null) keyRevisions.markWritten(entry.changes, revision)
            entry.onWritten()
        }
    }

    /**
     * Called when nothing was written because the comparisons of [failedKeys] failed. Updates the revisions to compare
     * before the next attempt.
     */
    private fun onConflict(
        failedKeys: Set<String>,
        conditions: List<Condition>,
        sentToken: Long,
    ) {
        val hasLeadershipConflict = Keys.leadership(0) in failedKeys
        val delayMs =
            if (failedKeys.isEmpty() || hasLeadershipConflict) {
                StoreTuning.RETRY_DELAY_MS
            } else {
                RuntimeTuning.TICK_INTERVAL_MS
            }
        retryAtMs = clock.steadyMs + delayMs
        if (hasLeadershipConflict) election.verifyLeadership(sentToken)
        val conflictTerm = term
        val keysToRead = ArrayList<String>()
        for (condition in conditions) {
            val key = condition.key
            if (key !in failedKeys || key == Keys.leadership(0)) continue
            if (key.startsWith(Keys.JOBS)) {
                closings.markOutdated(key.removePrefix(Keys.JOBS), condition.modRevision)
            } else {
                keysToRead.add(key)
            }
        }
        isWritePending = true
        keyRevisions.refresh(keysToRead) { if (term == conflictTerm) isWritePending = false }
    }

    private inner class ClosingEvents : JobClosingListener {
        override fun onJobEnded(job: Job) = finishedTasks.discard(job)

        override fun onFinalRecordWritten(
            job: Job,
            record: FinalRecord,
        ) = onJobClosed(job, record)
    }
}
