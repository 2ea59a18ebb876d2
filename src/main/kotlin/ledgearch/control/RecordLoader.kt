package ledgearch.control

import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.persistence.RecordWriter
import ledgearch.records.FinishedTasksRecord
import ledgearch.records.Keys
import ledgearch.records.decodeRecord
import ledgearch.runtime.Clock
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.wire.KeyValue
import org.slf4j.LoggerFactory

/** Told of what a new leader reads. */
internal interface RecordLoaderListener {
    /** [machine] has a record in the state service. */
    fun machineRestored(machine: Machine)

    /** All records are read. */
    fun allRecordsLoaded()
}

/** Reads what a new leader needs before it acts: the records of machines, then the finished tasks of open jobs. */
internal class RecordLoader(
    private val state: StoreClient,
    private val jobStore: JobStore,
    private val recordWriter: RecordWriter,
    private val teams: TeamQuotas,
    private val clock: Clock,
) {
    /** The next listing of the keys under [prefix]: those after the key [after], or from the first on. */
    private class PendingPage(
        val prefix: String,
        val after: String?,
    )

    private val log = LoggerFactory.getLogger("ledgearch.control")
    private val pendingPages = ArrayDeque<PendingPage>()
    private var reading = false
    private var retryAt = Long.MIN_VALUE

    /** Changes with every term: what an earlier one asked for means nothing here. */
    private var term = 0

    /** Every machine that has a record is known. */
    var machinesRead = false
        private set

    /**
     * Some machine record can't be read. Tasks of older jobs may be on machines that nobody here knows, so none of
     * those jobs may be trusted as long as it is there.
     */
    var anyUnreadable = false
        private set

    /** A new term begins; [clear] was called before. */
    fun begin() {
        pendingPages.addLast(PendingPage(Keys.MACHINES, after = null))
        pendingPages.addLast(PendingPage(Keys.FINISHED, after = null))
    }

    /** The term has ended: answers that are still under way are ignored. */
    fun clear() {
        term++
        pendingPages.clear()
        reading = false
        machinesRead = false
        anyUnreadable = false
    }

    /** Reads the next page, or tells [listener] that all are read. */
    fun drive(listener: RecordLoaderListener) {
        if (reading || clock.steadyMs < retryAt) return
        val page = pendingPages.firstOrNull() ?: return listener.allRecordsLoaded()
        reading = true
        val askedIn = term
        state.list(page.prefix, page.after, RequestClass.CRITICAL) { result ->
            if (term != askedIn) return@list
            reading = false
            when (result) {
                is ReadResult.Found -> pageRead(page, result.value.pairs, result.value.hasNext, listener)
                else -> retryAt = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun pageRead(
        page: PendingPage,
        pairs: List<KeyValue>,
        hasNext: Boolean,
        listener: RecordLoaderListener,
    ) {
        pendingPages.removeFirst()
        pairs.forEach { restore(page.prefix, it, listener) }
        if (hasNext) pendingPages.addFirst(PendingPage(page.prefix, after = pairs.last().key))
        if (pendingPages.none { it.prefix == Keys.MACHINES }) machinesRead = true
    }

    private fun restore(
        prefix: String,
        pair: KeyValue,
        listener: RecordLoaderListener,
    ) {
        val name = pair.key.removePrefix(prefix)
        recordWriter.setKeyRevision(pair.key, pair.modRevision)
        if (prefix == Keys.MACHINES) restoreMachines(name, pair, listener) else restoreFinishedTasks(name, pair)
    }

    private fun restoreMachines(
        name: String,
        pair: KeyValue,
        listener: RecordLoaderListener,
    ) {
        val machines = recordWriter.restoreMachines(name, pair, teams, clock.steadyMs)
        if (machines == null) {
            log.error(
                "machine record unreadable: older jobs wait until it is removed and the term ends; key={}",
                pair.key,
            )
            anyUnreadable = true
        } else {
            machines.forEach(listener::machineRestored)
        }
    }

    private fun restoreFinishedTasks(
        name: String,
        pair: KeyValue,
    ) {
        val job = jobStore.jobs[name.substringBefore('/')]
        val record = decodeRecord(FinishedTasksRecord.serializer(), pair.value)
        if (job == null) {
            recordWriter.removeKey(pair.key)
        } else if (record != null) {
            job.restoreFinished(record.ranges, name.substringAfter('/').toIntOrNull() ?: 0)
        }
    }
}
