package ledgearch.persistence

import ledgearch.election.Election
import ledgearch.jobs.JobStore
import ledgearch.model.Job
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.records.CatalogRecord
import ledgearch.records.Chunks
import ledgearch.records.FinalRecord
import ledgearch.records.FinishedRecord
import ledgearch.records.Keys
import ledgearch.records.Ranges
import ledgearch.records.encodeRecord
import ledgearch.records.within
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.store.TransactionResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.JobState
import ledgearch.wire.KeyValue
import org.slf4j.LoggerFactory
import java.util.BitSet

/**
 * What the leader makes durable, in batches of one transaction at a time, each comparing the leader's own grant: a
 * transaction that is applied late, after another grant, changes nothing. Applied late under the same grant it changes
 * nothing either that was written since, as every key is compared too ([KeyRevisions]; a job that closes, by its own
 * stamp).
 */
internal class RecordWriter(
    private val state: StoreClient,
    private val election: Election,
    private val jobStore: JobStore,
    private val clock: Clock,
    private val valueBytes: Int,
) {
    private val log = LoggerFactory.getLogger("ledgearch.state")

    /** One part of a batch: its changes go in together or not at all. [closes]: the job that they close. */
    private class Entry(
        val changes: List<Change>,
        val closes: Job? = null,
        val done: () -> Unit,
    ) {
        /** By which it is known from try to try. */
        val key: String = changes.first().let { it.put ?: it.remove.orEmpty() }
        val bytes: Int = changes.sumOf { change -> change.value?.let(::bytes) ?: 0 }
    }

    /** A job that is over in [state], until that is durable. */
    private class Closing(
        val job: Job,
        val state: JobState,
    ) {
        val record get() = FinalRecord(state, if (state == JobState.DONE) job.spec.taskCount else 0)
    }

    /** What one transaction holds: entries in order, until one has no room. */
    private inner class Batch {
        val entries = ArrayList<Entry>()
        var room = state.maxChanges
            private set
        private var bytes = 0

        /** False when the batch is full. An entry that waits since it was too large is passed over. */
        fun add(entry: Entry): Boolean {
            if (clock.steadyMs < (tooLarge[entry.key] ?: Long.MIN_VALUE)) return true
            if (entries.isNotEmpty() && (alone > 0 || bytes + entry.bytes > StoreTuning.TRANSACTION_BYTES)) return false
            if (entry.changes.size > room) return false
            room -= entry.changes.size
            bytes += entry.bytes
            entries.add(entry)
            return true
        }
    }

    /** Changes with every term: what an earlier one's transactions made durable is nothing of this one's. */
    private var term = 0
    private var keyRevisions = KeyRevisions(state)
    private var writing = false
    private var retryAt = Long.MIN_VALUE
    private val machines = MachineRecords(valueBytes, state.maxChanges)
    private val chunks = Chunks(valueBytes)
    private val removals = LinkedHashSet<String>()
    private val closings = LinkedHashMap<String, Closing>()

    /** Stamps of jobs that the state service no longer has: what became of the job the watch tells. */
    private val outdated = HashMap<String, Long>()
    private val progress = LinkedHashMap<String, Job>()
    private var catalog: CatalogRecord? = null

    /** Entries that the service took for too large when they were sent alone, and until when they wait. */
    private val tooLarge = HashMap<String, Long>()

    /** Entries to be sent one by one: among as many, one was too large, and must not hold up the others. */
    private var alone = 0

    /** A job's final record is durable. */
    var onClosed: (Job, FinalRecord) -> Unit = { _, _ -> }

    fun clear() {
        term++
        keyRevisions = KeyRevisions(state)
        writing = false
        outdated.clear()
        machines.clear()
        removals.clear()
        closings.clear()
        progress.clear()
        catalog = null
        tooLarge.clear()
        alone = 0
    }

    fun bind(machine: Machine) = machines.put(machine)

    /** The machines of a record that an earlier leader wrote; null when it can't be read. */
    fun restore(
        name: String,
        pair: KeyValue,
        teams: TeamQuotas,
        nowMs: Long,
    ): List<Machine>? = machines.restore(name, pair, teams, nowMs)

    fun remove(key: String) {
        removals.add(key)
    }

    /** A new leader has read [key]. */
    fun read(
        key: String,
        modRevision: Long,
    ) = keyRevisions.read(key, modRevision)

    fun unbind(machine: Machine) = machines.remove(machine)

    fun close(
        job: Job,
        state: JobState,
    ) {
        if (job.closing) return
        job.closing = true
        closings[job.id] = Closing(job, state)
    }

    fun progress(job: Job) {
        progress[job.id] = job
    }

    /**
     * Not kept when it is too large: nodes that start while the cloud is out then wait for it, or know an older
     * catalog.
     */
    fun catalog(record: CatalogRecord) {
        catalog = record.takeIf { bytes(encodeRecord(CatalogRecord.serializer(), it)) <= valueBytes }
        if (catalog ==
            null
        ) {
            log.warn("the catalog of {} machine types is too large to be kept", record.machineTypes.size)
        }
    }

    fun drive() {
        if (writing || !election.isLeader || clock.steadyMs < retryAt) return
        val entries = collect()
        if (entries.isEmpty()) return
        writing = true
        val sentAt = clock.steadyMs
        val under = election.token
        val mine = term
        val conditions = ArrayList<Condition>()
        conditions.add(election.condition)
        for (entry in entries) {
            conditions +=
                entry.closes?.let { listOf(Condition(Keys.job(it.id), it.modRevision)) }
                    ?: keyRevisions.conditions(entry.changes)
        }
        state.transact(conditions, entries.flatMap { it.changes }, RequestClass.ORDINARY) { result ->
            if (term != mine) return@transact
            writing = false
            if (alone > 0) alone--
            when (result) {
                is TransactionResult.Committed -> {
                    election.leadershipConfirmed(sentAt, under)
                    for (entry in entries) {
                        if (entry.closes == null) keyRevisions.written(entry.changes, result.revision)
                        entry.done()
                    }
                }

                is TransactionResult.Conflict -> {
                    failed(result.failed.toSet(), conditions, under)
                }

                TransactionResult.TooLarge -> {
                    separate(entries)
                }

                else -> {
                    retryAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
                }
            }
        }
    }

    /** Something in the batch is too large: which entry it is shows when each is sent alone. */
    private fun separate(entries: List<Entry>) {
        if (entries.size > 1) {
            alone = entries.size
            return
        }
        val key = entries.first().key
        log.error("the state service takes the record under {} for too large; it waits", key)
        tooLarge[key] = clock.steadyMs + PersistenceTuning.TOO_LARGE_RETRY_MS
    }

    /** Some comparison failed, so that nothing was written: what is to be compared is put right before the next try. */
    private fun failed(
        keys: Set<String>,
        conditions: List<Condition>,
        under: Long,
    ) {
        retryAt =
            clock.steadyMs +
            if (keys.isEmpty() || Keys.leadership(0) in keys) StoreTuning.STATE_RETRY_MS else RuntimeTuning.TICK_MS
        if (Keys.leadership(0) in keys) election.leadershipDoubted(under)
        val mine = term
        val own = ArrayList<String>()
        for (c in conditions) {
            if (c.key !in keys || c.key == Keys.leadership(0)) continue
            if (c.key.startsWith(Keys.JOBS)) outdated[c.key.removePrefix(Keys.JOBS)] = c.modRevision else own.add(c.key)
        }
        writing = true
        keyRevisions.readAnew(own) { if (term == mine) writing = false }
    }

    private fun collect(): List<Entry> {
        val batch = Batch()
        fill(batch)
        return batch.entries
    }

    private fun fill(batch: Batch) {
        for (w in machines.pending()) {
            if (!batch.add(Entry(w.changes, done = w.done))) return
        }
        for ((id, closing) in closings) {
            val job = closing.job
            // The stamp is compared so that a cancellation marked meanwhile is seen before the job is closed.
            if (jobStore.jobs[id] !== job || outdated[id] == job.modRevision) continue
            val record = closing.record
            val changes =
                listOf(
                    Change(put = Keys.final(id), value = encodeRecord(FinalRecord.serializer(), record)),
                    Change(remove = Keys.job(id)),
                )
            if (!batch.add(Entry(changes, job) { jobClosed(job, record) })) return
        }
        closings.values
            .map { it.job }
            .filter { jobStore.jobs[it.id] !== it }
            .forEach(::forget)
        for (job in progress.values) {
            // Until then its finished tasks stay on their machines' lists, from where the next leader would learn of
            // them.
            if (job.closing || clock.steadyMs - job.progressAt < PersistenceTuning.PROGRESS_MS) continue
            if (batch.room == 0) return
            val written = unwritten(job).take(batch.room).associateWith { job.finished.within(chunks.tasksOfChunk(it)) }
            if (written.isEmpty()) continue
            // Also one that is never answered may be written, and is to be removed in the end.
            written.keys.forEach(job.writtenChunks::set)
            val changes =
                written.map { (chunk, tasks) ->
                    Change(
                        put = Keys.finished(job.id, chunk),
                        value = encodeRecord(FinishedRecord.serializer(), FinishedRecord(Ranges.encode(tasks))),
                    )
                }
            if (!batch.add(Entry(changes) { progressWritten(job, written) })) return
        }
        for (key in removals.toList()) {
            if (!batch.add(Entry(listOf(Change(remove = key))) { removals.remove(key) })) return
        }
        catalog?.let { record ->
            batch.add(
                Entry(listOf(Change(put = Keys.CATALOG, value = encodeRecord(CatalogRecord.serializer(), record)))) {
                    if (catalog ===
                        record
                    ) {
                        catalog = null
                    }
                },
            )
        }
    }

    /** Chunks in which more tasks are finished than written. */
    private fun unwritten(job: Job): List<Int> {
        val tasks = job.finished.clone() as BitSet
        tasks.andNot(job.recorded)
        return tasks
            .stream()
            .map(chunks::numberOf)
            .distinct()
            .toArray()
            .toList()
    }

    private fun jobClosed(
        job: Job,
        record: FinalRecord,
    ) {
        forget(job)
        onClosed(job, record)
    }

    /** [job] is over. */
    private fun forget(job: Job) {
        closings.remove(job.id)
        outdated.remove(job.id)
        progress.remove(job.id)
        job.writtenChunks.stream().forEach { removals.add(Keys.finished(job.id, it)) }
    }

    /** [written]: by chunk, the tasks that are durable now. */
    private fun progressWritten(
        job: Job,
        written: Map<Int, BitSet>,
    ) {
        job.progressAt = clock.steadyMs
        written.values.forEach(job.recorded::or)
        // A final record written meanwhile would leave this chunk behind.
        if (jobStore.jobs[job.id] !== job) written.keys.forEach { removals.add(Keys.finished(job.id, it)) }
        if (job.finished == job.recorded) progress.remove(job.id)
    }
}
