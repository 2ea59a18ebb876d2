package ledgearch.core

import kotlinx.serialization.json.JsonElement
import ledgearch.Tuning
import ledgearch.state.Lane
import ledgearch.state.ReadResult
import ledgearch.state.StateClient
import ledgearch.wire.KeyValue
import ledgearch.wire.MachineType
import ledgearch.wire.News
import org.slf4j.LoggerFactory

/** What changed in the watched part of the state service. */
internal interface JobStoreListener {
    fun grantChanged()

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
    private val state: StateClient,
    private val now: Now,
    private val listener: JobStoreListener,
    dependencyListener: DependencyListener,
    finalsKept: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.state")
    val jobs = LinkedHashMap<String, Job>()
    private val finals = LruMap<String, FinalRecord>(finalsKept)

    /** Reads single jobs past the watch. */
    val records = JobRecordReader(state, ::rememberFinal)
    val dependencies = JobDependencies(records, now, jobs, ::final, dependencyListener)
    var machineTypes: Map<String, MachineType> = emptyMap()
        private set
    var grant: GrantRecord? = null
        private set

    /** Who held the block before, as far as this node has seen, and at what steady ms that was last known. */
    private val heldUntil = HashMap<String, Long>()

    /** Stamp of the grant's key, 0 when it does not exist. */
    var grantStamp = 0L
        private set

    /** The last time that a leader gave the block up because it heard next to no machine. */
    var silence: SilenceRecord? = null
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
        if (reading || now.steady < retryAt) return
        reading = true
        if (loaded) watch() else load(Listing().also { it.askedAt = now.steady }, 0, null)
    }

    /**
     * A job that this node made durable in a transaction that also compared its own grant. No other way leads past
     * the watch: a leader that learnt of a job out of order could start what a newer leader starts too.
     */
    fun acceptUnderGrant(
        record: JobRecord,
        stamp: Long,
    ) {
        if (!isPast(record.spec.id, stamp)) put(record, stamp)
    }

    /**
     * The copy has passed this record and has no such job: it is over, whether or not its final state is remembered.
     */
    private fun isPast(
        id: String,
        stamp: Long,
    ) = stamp <= revision && id !in jobs

    private fun put(
        record: JobRecord,
        stamp: Long,
    ) {
        val id = record.spec.id
        val known = jobs[id]
        when {
            known == null -> {
                if (final(id) == null) {
                    val job = Job(record, stamp)
                    jobs[id] = job
                    dependencies.opened(job)
                    listener.jobOpened(job)
                }
            }

            stamp > known.stamp -> {
                known.stamp = stamp
                known.record = record
                listener.jobChanged(known)
            }
        }
    }

    private class Listing {
        val jobs = ArrayList<KeyValue>()
        var grant: KeyValue? = null
        var silence: KeyValue? = null
        var catalog: KeyValue? = null
        var firstEdition = -1L

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
        val prefixes = listOf(Keys.CATALOG, Keys.JOBS, Keys.GRANTS)
        state.list(prefixes[prefix], since, Lane.VITAL) { result ->
            if (result !is ReadResult.Found) {
                takeIn()
                return@list
            }
            val page = result.value
            if (into.firstEdition < 0) into.firstEdition = page.edition
            for (pair in page.pairs) {
                when {
                    pair.key.startsWith(Keys.JOBS) -> into.jobs.add(pair)
                    pair.key == Keys.grant(0) -> into.grant = pair
                    pair.key == Keys.silence(0) -> into.silence = pair
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
        val gone = jobs.values.filter { it.id !in listed && it.stamp <= listing.firstEdition }
        for (job in gone) close(job.id)
        setSilence(listing.silence?.v)
        setGrant(listing.grant?.v, listing.grant?.stamp ?: 0)
        listing.catalog?.v?.let { setCatalog(it) }
        for (pair in listing.jobs) {
            if (!isPast(
                    pair.key.removePrefix(Keys.JOBS),
                    pair.stamp,
                )
            ) {
                putJob(pair.key, pair.v, pair.stamp)
            }
        }
        revision = listing.firstEdition
        completeAt = listing.askedAt
        loaded = true
        retryAt = Long.MIN_VALUE
        log.info("read {} open jobs at revision {}", jobs.size, revision)
        drive()
    }

    private fun watch() {
        val askedAt = now.steady
        state.watch(Keys.WATCHED, revision) { result ->
            takeIn()
            when (result) {
                is ReadResult.Found -> {
                    result.value.news.forEach(::apply)
                    if (result.value.edition > revision) revision = result.value.edition
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
        retryAt = now.steady + Tuning.STATE_RETRY_MS
    }

    private fun apply(news: News) {
        val put = news.put
        val removed = news.remove
        if (put != null) {
            when {
                put.startsWith(Keys.JOBS) -> {
                    putJob(put, news.v, news.stamp)
                }

                put.startsWith(Keys.FINALS) -> {
                    decodeRecord(FinalRecord.serializer(), news.v)?.let {
                        rememberFinal(put.removePrefix(Keys.FINALS), it)
                    }
                }

                put == Keys.grant(0) && news.stamp > grantStamp -> {
                    setGrant(news.v, news.stamp)
                }

                put == Keys.silence(0) -> {
                    setSilence(news.v)
                }

                put == Keys.CATALOG -> {
                    news.v?.let { setCatalog(it) }
                }
            }
        } else if (removed != null) {
            when {
                removed.startsWith(Keys.JOBS) -> {
                    val id = removed.removePrefix(Keys.JOBS)
                    val job = jobs[id]
                    if (job != null && news.stamp > job.stamp) close(id)
                }

                removed == Keys.grant(0) && news.stamp > grantStamp -> {
                    setGrant(null, 0)
                }
            }
        }
        if (news.stamp > revision) revision = news.stamp
    }

    private fun putJob(
        key: String,
        value: JsonElement?,
        stamp: Long,
    ) {
        val record = decodeRecord(JobRecord.serializer(), value) ?: return
        if (key != Keys.job(record.spec.id)) return
        put(record, stamp)
    }

    private fun setGrant(
        value: JsonElement?,
        stamp: Long,
    ) {
        if (stamp == grantStamp) return
        grant?.let { heldUntil[it.node] = now.steady }
        grant = value?.let { decodeRecord(GrantRecord.serializer(), it) }
        grantStamp = stamp
        listener.grantChanged()
    }

    /** Who but [node] has held the block within the last [ms]. */
    fun recentLeaders(
        node: String,
        ms: Long,
    ): Set<String> = (heldUntil.filterValues { now.steady - it < ms }.keys + setOfNotNull(grant?.node)) - node

    private fun setSilence(value: JsonElement?) {
        silence = decodeRecord(SilenceRecord.serializer(), value)
    }

    private fun setCatalog(value: JsonElement) {
        decodeRecord(CatalogRecord.serializer(), value)?.let { setMachineTypes(it.machineTypes) }
    }

    fun setMachineTypes(list: List<MachineType>) {
        machineTypes = list.associateBy { it.name }
        listener.machineTypesChanged()
    }
}
