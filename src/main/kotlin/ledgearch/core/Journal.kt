package ledgearch.core

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import ledgearch.Tuning
import ledgearch.leader.Election
import ledgearch.state.Lane
import ledgearch.state.StateClient
import ledgearch.state.TxnResult
import ledgearch.wire.Change
import ledgearch.wire.Condition
import ledgearch.wire.KeyValue
import ledgearch.wire.WireJson
import ledgearch.wire.WorkStates
import java.util.BitSet

/**
 * What the holder makes durable, in batches of one transaction at a time, each comparing the holder's own grant:
 * a transaction that is applied late, after another grant, changes nothing. Applied late under the same grant it changes
 * nothing either that was written since, as every key is compared too ([KeyStamps]; a job that closes, by its own stamp).
 */
internal class Journal(private val state: StateClient, private val election: Election, private val book: Book, private val now: Now, valueBytes: Int) {
    /** One part of a batch: its changes go in together or not at all. [closes]: the job that they close. */
    private class Entry(val changes: List<Change>, val closes: Job? = null, val done: () -> Unit)

    /** Changes with every tenure: what an earlier one's transactions made durable is nothing of this one's. */
    private var tenure = 0
    private var stamps = KeyStamps(state)
    private var writing = false
    private var retryAt = Long.MIN_VALUE
    private val machines = MachineRecords(valueBytes)
    private val removals = LinkedHashSet<String>()
    private val closings = LinkedHashMap<String, Pair<Job, String>>()

    /** Stamps of jobs that the state service no longer has: what became of the job the watch tells. */
    private val outdated = HashMap<String, Long>()
    private val progress = LinkedHashMap<String, Job>()
    private var catalog: CatalogRecord? = null

    /** A job's final record is durable. */
    var onClosed: (Job, FinalRecord) -> Unit = { _, _ -> }

    fun clear() {
        tenure++
        stamps = KeyStamps(state)
        writing = false
        outdated.clear()
        machines.clear()
        removals.clear()
        closings.clear()
        progress.clear()
        catalog = null
    }

    fun bind(machine: Machine) = machines.put(machine)

    /** The machines of a record that an earlier holder wrote. */
    fun restore(name: String, pair: KeyValue, teams: Teams, nowMs: Long): List<Machine> = machines.restore(name, pair, teams, nowMs)

    fun remove(key: String) {
        removals.add(key)
    }

    /** A new holder has read [key]. */
    fun read(key: String, stamp: Long) = stamps.read(key, stamp)

    fun unbind(machine: Machine) = machines.remove(machine)

    fun close(job: Job, state: String) {
        if (job.closing) return
        job.closing = true
        closings[job.id] = job to state
    }

    fun progress(job: Job) {
        progress[job.id] = job
    }

    fun catalog(record: CatalogRecord) {
        catalog = record
    }

    fun drive() {
        if (writing || !election.holding || now.steady < retryAt) return
        val entries = collect()
        if (entries.isEmpty()) return
        writing = true
        val sentAt = now.steady
        val under = election.token
        val mine = tenure
        val conditions = ArrayList<Condition>()
        conditions.add(election.condition)
        for (entry in entries) conditions += entry.closes?.let { listOf(Condition(Keys.job(it.id), it.stamp)) } ?: stamps.conditions(entry.changes)
        state.txn(conditions, entries.flatMap { it.changes }, Lane.ORDINARY) { result ->
            if (tenure != mine) return@txn
            writing = false
            when (result) {
                is TxnResult.Ok -> {
                    election.verified(sentAt, under)
                    for (entry in entries) {
                        if (entry.closes == null) stamps.written(entry.changes, result.edition)
                        entry.done()
                    }
                }
                is TxnResult.Conflict -> failed(result.failed.toSet(), conditions, under)
                else -> retryAt = now.steady + Tuning.STATE_RETRY_MS
            }
        }
    }

    /** Some comparison failed, so that nothing was written: what is to be compared is put right before the next try. */
    private fun failed(keys: Set<String>, conditions: List<Condition>, under: Long) {
        retryAt = now.steady + if (keys.isEmpty() || Keys.grant(0) in keys) Tuning.STATE_RETRY_MS else Tuning.TICK_MS
        if (Keys.grant(0) in keys) election.doubted(under)
        val mine = tenure
        val own = ArrayList<String>()
        for (c in conditions) {
            if (c.key !in keys || c.key == Keys.grant(0)) continue
            if (c.key.startsWith(Keys.JOBS)) outdated[c.key.removePrefix(Keys.JOBS)] = c.stamp else own.add(c.key)
        }
        writing = true
        stamps.readAnew(own) { if (tenure == mine) writing = false }
    }

    private fun collect(): List<Entry> {
        val entries = ArrayList<Entry>()
        var room = state.maxChanges
        fun add(entry: Entry): Boolean {
            if (entry.changes.size > room) return false
            room -= entry.changes.size
            entries.add(entry)
            return true
        }
        var bytes = 0
        for (w in machines.pending()) {
            bytes += w.change.v?.toString()?.length ?: 0
            if (bytes > Tuning.TXN_BYTES || !add(Entry(listOf(w.change), done = w.done))) return entries
        }
        for ((id, closing) in closings) {
            val (job, finalState) = closing
            // The stamp is compared so that a cancellation marked meanwhile is seen before the job is closed.
            if (book.jobs[id] !== job || outdated[id] == job.stamp) continue
            val record = FinalRecord(finalState, if (finalState == WorkStates.DONE) job.spec.portions else 0)
            val changes = listOf(Change(put = Keys.final(id), v = encode(FinalRecord.serializer(), record)), Change(remove = Keys.job(id)))
            if (!add(Entry(changes, job) { jobClosed(job, record) })) return entries
        }
        closings.values.map { it.first }.filter { book.jobs[it.id] !== it }.forEach(::forget)
        for (job in progress.values) {
            // Until then its finished tasks stay on their machines' lists, from where the next holder would learn of them.
            if (job.closing || now.steady - job.progressAt < Tuning.PROGRESS_MS) continue
            val chunks = chunksOf(job).take(room)
            if (chunks.isEmpty()) continue
            // Also one that is never answered may be written, and is to be removed in the end.
            chunks.forEach(job.writtenChunks::set)
            val snapshot = job.finished.clone() as BitSet
            val changes = chunks.map { Change(put = Keys.finished(job.id, it), v = encode(FinishedRecord.serializer(), FinishedRecord(Ranges.encode(job.finished, it)))) }
            if (!add(Entry(changes) { progressWritten(job, chunks, snapshot) })) return entries
        }
        for (key in removals.toList()) {
            if (!add(Entry(listOf(Change(remove = key))) { removals.remove(key) })) return entries
        }
        catalog?.let { record ->
            add(Entry(listOf(Change(put = Keys.CATALOG, v = encode(CatalogRecord.serializer(), record)))) { if (catalog === record) catalog = null })
        }
        return entries
    }

    private fun chunksOf(job: Job): List<Int> = job.dirtyChunks.stream().toArray().toList()

    private fun jobClosed(job: Job, record: FinalRecord) {
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

    private fun progressWritten(job: Job, chunks: List<Int>, snapshot: BitSet) {
        for (chunk in chunks) {
            job.progressAt = now.steady
            if (Ranges.encode(job.finished, chunk) == Ranges.encode(snapshot, chunk)) job.dirtyChunks.clear(chunk)
        }
        // A final record written meanwhile would leave this chunk behind.
        if (book.jobs[job.id] !== job) chunks.forEach { removals.add(Keys.finished(job.id, it)) }
        job.recorded.or(snapshot)
        if (job.dirtyChunks.isEmpty) progress.remove(job.id)
    }

    private fun <T> encode(serializer: KSerializer<T>, value: T): JsonElement = WireJson.encodeToJsonElement(serializer, value)
}
