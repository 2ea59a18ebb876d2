package ledgearch.jobs

import kotlinx.serialization.json.JsonElement
import ledgearch.model.Job
import ledgearch.records.CatalogRecord
import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord
import ledgearch.records.Keys
import ledgearch.records.LeadershipRecord
import ledgearch.records.StepDownRecord
import ledgearch.records.decodeRecord
import ledgearch.runtime.Clock
import ledgearch.runtime.LruMap
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.wire.KeyValue
import ledgearch.wire.MachineType
import ledgearch.wire.WatchEvent
import org.slf4j.LoggerFactory

/** What changed in the watched part of the state service. */
internal interface JobStoreListener {
    fun leadershipChanged()

    fun jobOpened(job: Job)

    fun jobChanged(job: Job)

    fun jobClosed(job: Job)

    fun machineTypesChanged()
}

/**
 * Every node's replicated view of the watched keys: open jobs, the grant, machine types. It is filled by one listing
 * and then kept by a watch, so changes are seen in the order of their revisions. A copy may be old: what is told to
 * users is confirmed first, and the leader's right is fenced by its token.
 */
internal class JobStore(
    private val state: StoreClient,
    private val clock: Clock,
    private val listener: JobStoreListener,
    dependencyListener: DependencyListener,
    finalsKept: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.state")
    val jobs = LinkedHashMap<String, Job>()
    private val finals = LruMap<String, FinalRecord>(finalsKept)

    /** Reads single jobs past the watch. */
    val records = JobRecordReader(state, ::rememberFinal)
    val dependencies = JobDependencies(records, clock, jobs, ::final, dependencyListener)
    var machineTypes: Map<String, MachineType> = emptyMap()
        private set
    var leadership: LeadershipRecord? = null
        private set

    /** Who held the block before, as far as this node has seen, and at what steady ms that was last known. */
    private val heldUntil = HashMap<String, Long>()

    /** Stamp of the grant's key, 0 when it does not exist. */
    var leadershipRevision = 0L
        private set

    /** The last time that a leader gave the block up because it heard next to no machine. */
    var lastStepDown: StepDownRecord? = null
        private set

    /** All changes up to this revision are in the copy. */
    var revision = 0L
        private set
    var loaded = false
        private set

    /** Every change made before this steady ms is in the copy. */
    var completeAt = Long.MIN_VALUE / 2
        private set
    private var reading = false
    private var retryAt = Long.MIN_VALUE

    fun final(id: String): FinalRecord? = finals[id]

    fun rememberFinal(
        id: String,
        record: FinalRecord,
    ) {
        finals[id] = record
        close(id)
        dependencies.ended(id, record)
    }

    private fun close(id: String) {
        val job = jobs.remove(id) ?: return
        dependencies.closed(job)
        listener.jobClosed(job)
    }

    /** Reads or watches on whenever neither is under way. */
    fun drive() {
        dependencies.drive()
        if (reading || clock.steadyMs < retryAt) return
        reading = true
        if (loaded) watch() else load(Listing().also { it.askedAt = clock.steadyMs }, 0, null)
    }

    /**
     * A job that this node made durable in a transaction that also compared its own grant. No other way leads past
     * the watch: a leader that learnt of a job out of order could start what a newer leader starts too.
     */
    fun acceptUnderLeadership(
        record: JobRecord,
        modRevision: Long,
    ) {
        if (!isPast(record.spec.id, modRevision)) put(record, modRevision)
    }

    /**
     * The copy has passed this record and has no such job: it is over, whether or not its final state is remembered.
     */
    private fun isPast(
        id: String,
        modRevision: Long,
    ) = modRevision <= revision && id !in jobs

    private fun put(
        record: JobRecord,
        modRevision: Long,
    ) {
        val id = record.spec.id
        val known = jobs[id]
        when {
            known == null -> {
                if (final(id) == null) {
                    val job = Job(record, modRevision)
                    jobs[id] = job
                    dependencies.opened(job)
                    listener.jobOpened(job)
                }
            }

            modRevision > known.modRevision -> {
                known.modRevision = modRevision
                known.record = record
                listener.jobChanged(known)
            }
        }
    }

    private class Listing {
        val jobs = ArrayList<KeyValue>()
        var leadership: KeyValue? = null
        var lastStepDown: KeyValue? = null
        var catalog: KeyValue? = null
        var firstRevision = -1L

        /** Steady ms at which the first page was asked for. */
        var askedAt = 0L
    }

    /**
     * Reads the prefixes one after the other; the watch then starts at the edition of the first page. The grant is
     * read last: jobs read while it still stood were accepted under it.
     */
    private fun load(
        into: Listing,
        prefix: Int,
        since: String?,
    ) {
        val prefixes = listOf(Keys.CATALOG, Keys.JOBS, Keys.LEADERSHIP)
        state.list(prefixes[prefix], since, RequestClass.CRITICAL) { result ->
            if (result !is ReadResult.Found) {
                takeIn()
                return@list
            }
            val page = result.value
            if (into.firstRevision < 0) into.firstRevision = page.revision
            for (pair in page.pairs) {
                when {
                    pair.key.startsWith(Keys.JOBS) -> into.jobs.add(pair)
                    pair.key == Keys.leadership(0) -> into.leadership = pair
                    pair.key == Keys.stepDown(0) -> into.lastStepDown = pair
                    pair.key == Keys.CATALOG -> into.catalog = pair
                }
            }
            when {
                page.hasNext -> load(into, prefix, page.pairs.last().key)
                prefix + 1 < prefixes.size -> load(into, prefix + 1, null)
                else -> install(into)
            }
        }
    }

    private fun install(listing: Listing) {
        takeIn()
        val listed = listing.jobs.mapTo(HashSet()) { it.key.removePrefix(Keys.JOBS) }
        // Jobs that are open here and not listed are over, or were accepted after the listing began.
        val gone = jobs.values.filter { it.id !in listed && it.modRevision <= listing.firstRevision }
        for (job in gone) close(job.id)
        setLastStepDown(listing.lastStepDown?.value)
        setLeadership(listing.leadership?.value, listing.leadership?.modRevision ?: 0)
        listing.catalog?.value?.let { setCatalog(it) }
        for (pair in listing.jobs) {
            if (!isPast(
                    pair.key.removePrefix(Keys.JOBS),
                    pair.modRevision,
                )
            ) {
                putJob(pair.key, pair.value, pair.modRevision)
            }
        }
        revision = listing.firstRevision
        completeAt = listing.askedAt
        loaded = true
        retryAt = Long.MIN_VALUE
        log.info("read {} open jobs at revision {}", jobs.size, revision)
        drive()
    }

    private fun watch() {
        val askedAt = clock.steadyMs
        state.watch(Keys.WATCHED, revision) { result ->
            takeIn()
            when (result) {
                is ReadResult.Found -> {
                    result.value.events.forEach(::apply)
                    if (result.value.revision > revision) revision = result.value.revision
                    completeAt = askedAt
                    retryAt = Long.MIN_VALUE
                    drive()
                }

                ReadResult.Absent -> {
                    log.warn("the watch fell behind; reading all keys again")
                    loaded = false
                    retryAt = Long.MIN_VALUE
                    drive()
                }

                ReadResult.Failed -> {
                    Unit
                }
            }
        }
    }

    /**
     * The reading is over. Until what it brought is in the copy it counts as failed, so that an exception on the way
     * does not leave this node with an old copy for ever.
     */
    private fun takeIn() {
        reading = false
        retryAt = clock.steadyMs + StoreTuning.STATE_RETRY_MS
    }

    private fun apply(news: WatchEvent) {
        val put = news.put
        val removed = news.remove
        if (put != null) {
            when {
                put.startsWith(Keys.JOBS) -> {
                    putJob(put, news.value, news.modRevision)
                }

                put.startsWith(Keys.FINALS) -> {
                    decodeRecord(FinalRecord.serializer(), news.value)?.let {
                        rememberFinal(put.removePrefix(Keys.FINALS), it)
                    }
                }

                put == Keys.leadership(0) && news.modRevision > leadershipRevision -> {
                    setLeadership(news.value, news.modRevision)
                }

                put == Keys.stepDown(0) -> {
                    setLastStepDown(news.value)
                }

                put == Keys.CATALOG -> {
                    news.value?.let { setCatalog(it) }
                }
            }
        } else if (removed != null) {
            when {
                removed.startsWith(Keys.JOBS) -> {
                    val id = removed.removePrefix(Keys.JOBS)
                    val job = jobs[id]
                    if (job != null && news.modRevision > job.modRevision) close(id)
                }

                removed == Keys.leadership(0) && news.modRevision > leadershipRevision -> {
                    setLeadership(null, 0)
                }
            }
        }
        if (news.modRevision > revision) revision = news.modRevision
    }

    private fun putJob(
        key: String,
        value: JsonElement?,
        modRevision: Long,
    ) {
        val record = decodeRecord(JobRecord.serializer(), value) ?: return
        if (key != Keys.job(record.spec.id)) return
        put(record, modRevision)
    }

    private fun setLeadership(
        value: JsonElement?,
        modRevision: Long,
    ) {
        if (modRevision == leadershipRevision) return
        leadership?.let { heldUntil[it.node] = clock.steadyMs }
        leadership = value?.let { decodeRecord(LeadershipRecord.serializer(), it) }
        leadershipRevision = modRevision
        listener.leadershipChanged()
    }

    /** Who but [node] has held the block within the last [ms]. */
    fun recentLeaders(
        node: String,
        ms: Long,
    ): Set<String> = (heldUntil.filterValues { clock.steadyMs - it < ms }.keys + setOfNotNull(leadership?.node)) - node

    private fun setLastStepDown(value: JsonElement?) {
        lastStepDown = decodeRecord(StepDownRecord.serializer(), value)
    }

    private fun setCatalog(value: JsonElement) {
        decodeRecord(CatalogRecord.serializer(), value)?.let { setMachineTypes(it.machineTypes) }
    }

    fun setMachineTypes(list: List<MachineType>) {
        machineTypes = list.associateBy { it.name }
        listener.machineTypesChanged()
    }
}
