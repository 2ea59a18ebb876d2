package ledgearch.control

import ledgearch.jobs.JobStore
import ledgearch.model.Machine
import ledgearch.model.TeamQuotas
import ledgearch.persistence.RecordWriter
import ledgearch.records.FinishedRecord
import ledgearch.records.Keys
import ledgearch.records.decodeRecord
import ledgearch.runtime.Clock
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.wire.KeyValue
import org.slf4j.LoggerFactory

/** What a new leader reads before it acts: the machines of the block, then the finished tasks of open jobs. */
internal class Failover(
    private val state: StoreClient,
    private val jobStore: JobStore,
    private val recordWriter: RecordWriter,
    private val teams: TeamQuotas,
    private val clock: Clock,
    private val join: (Machine) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.core")
    private val toRead = ArrayDeque<Pair<String, String?>>()
    private var reading = false
    private var retryAt = Long.MIN_VALUE

    /** Changes with every term: what an earlier one asked for means nothing here. */
    private var term = 0

    /** Every machine that has a record is known. */
    var machinesRead = false
        private set

    /**
     * Some record of machines can't be read. Tasks of older jobs may be on machines that nobody here knows, so none of
     * those jobs may be trusted as long as it is there.
     */
    var anyUnreadable = false
        private set

    fun begin() {
        toRead.addLast(Keys.MACHINES to null)
        toRead.addLast(Keys.FINISHED to null)
    }

    fun clear() {
        term++
        toRead.clear()
        reading = false
        machinesRead = false
        anyUnreadable = false
    }

    /** Reads on; [done] once all is read. */
    fun drive(done: () -> Unit) {
        if (reading || clock.steadyMs < retryAt) return
        val (prefix, since) = toRead.firstOrNull() ?: return done()
        reading = true
        val mine = term
        state.list(prefix, since, RequestClass.CRITICAL) { result ->
            if (term != mine) return@list
            reading = false
            when (result) {
                is ReadResult.Found -> {
                    toRead.removeFirst()
                    result.value.pairs.forEach { restore(prefix, it) }
                    if (result.value.hasNext) {
                        toRead.addFirst(
                            prefix to
                                result.value.pairs
                                    .last()
                                    .key,
                        )
                    }
                    if (toRead.none { it.first == Keys.MACHINES }) machinesRead = true
                }

                else -> {
                    retryAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
                }
            }
        }
    }

    private fun restore(
        prefix: String,
        pair: KeyValue,
    ) {
        val name = pair.key.removePrefix(prefix)
        recordWriter.read(pair.key, pair.modRevision)
        if (prefix == Keys.MACHINES) {
            val machines = recordWriter.restore(name, pair, teams, clock.steadyMs)
            if (machines == null) {
                log.error(
                    "the record {} can't be read: older jobs wait until it is removed and the leader ends",
                    pair.key,
                )
                anyUnreadable = true
            } else {
                machines.forEach(join)
            }
        } else {
            val id = name.substringBefore('/')
            val job = jobStore.jobs[id]
            val record = decodeRecord(FinishedRecord.serializer(), pair.value)
            if (job == null) {
                recordWriter.remove(pair.key)
            } else if (record != null) {
                job.restoreFinished(record.ranges, name.substringAfter('/').toIntOrNull() ?: 0)
            }
        }
    }
}
