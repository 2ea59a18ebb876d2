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

/** Receives what a new leader loads. */
internal interface RecordLoaderListener {
    /** Called for each machine of a machine record in the state service. */
    fun onMachineLoaded(machine: Machine)

    /** Called when all records are loaded. */
    fun onAllRecordsLoaded()
}

/** Loads what a new leader needs before it acts: the machine records, then the finished tasks of open jobs. */
internal class RecordLoader(
    private val storeClient: StoreClient,
    private val jobStore: JobStore,
    private val recordWriter: RecordWriter,
    private val teams: TeamQuotas,
    private val clock: Clock,
) {
    /** The next page to list of the keys under [prefix]: those after the key [after], or from the first when null. */
    private class PendingPage(
        val prefix: String,
        val after: String?,
    )

    private val log = LoggerFactory.getLogger("ledgearch.control")
    private val pendingPages = ArrayDeque<PendingPage>()
    private var isReading = false
    private var retryAtMs = Long.MIN_VALUE

    /** Counts the terms, so that replies to requests of an earlier term are ignored. */
    private var termCount = 0

    /** Whether all machine records are loaded. */
    var areMachinesLoaded = false
        private set

    /**
     * Whether a machine record can't be decoded. Tasks of jobs from before the term may then be on unknown machines, so
     * those jobs start no tasks in this term.
     */
    var hasUndecodableRecord = false
        private set

    /** Begins a term after [clear]. */
    fun begin() {
        pendingPages.addLast(PendingPage(Keys.MACHINES, after = null))
        pendingPages.addLast(PendingPage(Keys.FINISHED, after = null))
    }

    /** Ends the term; later replies to its requests are ignored. */
    fun clear() {
        termCount++
        pendingPages.clear()
        isReading = false
        areMachinesLoaded = false
        hasUndecodableRecord = false
    }

    /** Requests the next page, or calls [RecordLoaderListener.onAllRecordsLoaded] when none is left. */
    fun runDueWork(listener: RecordLoaderListener) {
        if (isReading || clock.steadyMs < retryAtMs) return
        val page = pendingPages.firstOrNull() ?: return listener.onAllRecordsLoaded()
        isReading = true
        val requestTermCount = termCount
        storeClient.list(page.prefix, page.after, RequestClass.CRITICAL) { result ->
            if (termCount != requestTermCount) return@list
            isReading = false
            when (result) {
                is ReadResult.Found -> applyPage(page, result.value.pairs, result.value.hasNext, listener)
                else -> retryAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
            }
        }
    }

    private fun applyPage(
        page: PendingPage,
        pairs: List<KeyValue>,
        hasNext: Boolean,
        listener: RecordLoaderListener,
    ) {
        pendingPages.removeFirst()
        pairs.forEach { restore(page.prefix, it, listener) }
        if (hasNext) pendingPages.addFirst(PendingPage(page.prefix, after = pairs.last().key))
        if (pendingPages.none { it.prefix == Keys.MACHINES }) areMachinesLoaded = true
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
                "machine record unreadable: jobs from earlier terms wait until it is removed and the term ends; key={}",
                pair.key,
            )
            hasUndecodableRecord = true
        } else {
            machines.forEach(listener::onMachineLoaded)
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
