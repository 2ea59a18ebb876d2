package ledgearch.jobs

import ledgearch.model.Job
import ledgearch.records.FinalRecord
import ledgearch.records.JobRecord
import ledgearch.records.Keys
import ledgearch.records.LeadershipRecord
import ledgearch.records.StepDownRecord
import ledgearch.runtime.Clock
import ledgearch.store.ReadResult
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.wire.MachineType
import ledgearch.wire.WatchReply
import org.slf4j.LoggerFactory

/**
 * Every node's replicated view of the watched keys: open jobs, the leadership record, machine types. It is filled by
 * one listing and then kept by a watch, so changes are applied in the order of their revisions. The view may be old:
 * what is told to users is confirmed first, and what the leader does is fenced by its token.
 */
internal class JobStore(
    private val state: StoreClient,
    private val clock: Clock,
    listener: JobStoreListener,
    dependencyListener: DependencyListener,
    finalsKept: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.jobs")
    private val openJobs = OpenJobs(state, clock, listener, dependencyListener, finalsKept)
    private val replicatedLeadership = ReplicatedLeadership(clock, listener)
    private val catalog = ReplicatedCatalog(listener)
    private val events = WatchEventApplier(openJobs, replicatedLeadership, catalog)
    private val listings = ListingReader(state, clock)
    private var requestOpen = false
    private var retryAt = Long.MIN_VALUE

    /** The open jobs by id, in the order in which they became known. Read only for others. */
    val jobs: LinkedHashMap<String, Job> = openJobs.byId

    /** Reads single jobs past the watch. */
    val records: JobRecordReader get() = openJobs.records

    /** Which open jobs depend on which others. */
    val dependencies: JobDependencies get() = openJobs.dependencies

    /** The machine types by name; empty until a catalog is known. */
    val machineTypes: Map<String, MachineType> get() = catalog.machineTypes

    /** The leadership record; null when there is none, or none that can be read. */
    val leadership: LeadershipRecord? get() = replicatedLeadership.record

    /** The revision of the leadership record, which is the leader's fencing token; 0 when it does not exist. */
    val leadershipRevision: Long get() = replicatedLeadership.revision

    /** The last time that a leader stepped down because it heard next to no machine; null when none is recorded. */
    val lastStepDown: StepDownRecord? get() = replicatedLeadership.lastStepDown

    /** All changes up to this revision are in the view. */
    var revision = 0L
        private set

    /** The view was filled by a listing; false until then, and again when the watch fell behind. */
    var isLoaded = false
        private set

    /** Every change made before this steady ms is in the view. */
    var completeAt = Long.MIN_VALUE / 2
        private set

    /** The final record of the job [id], null when this node does not remember one. */
    fun final(id: String): FinalRecord? = openJobs.final(id)

    /** The job [id] is over, by its final record [record]. */
    fun rememberFinal(
        id: String,
        record: FinalRecord,
    ) = openJobs.rememberFinal(id, record)

    /** Replaces the machine types. */
    fun setMachineTypes(newTypes: List<MachineType>) = catalog.set(newTypes)

    /** The nodes other than [node] that were leaders within the last [withinMs], or are. */
    fun recentLeaders(
        node: String,
        withinMs: Long,
    ): Set<String> = replicatedLeadership.recentLeaders(node, withinMs)

    /**
     * Opens a job that this node made durable in a transaction that also compared its own leadership. No other way
     * leads past the watch: a leader that learnt of a job out of order could start what a newer leader starts too.
     */
    fun acceptUnderLeadership(
        record: JobRecord,
        modRevision: Long,
    ) {
        if (!isPast(record.spec.id, modRevision)) openJobs.put(record, modRevision)
    }

    /**
     * The view is past this record and has no such job: it is over, whether or not its final state is remembered.
     */
    private fun isPast(
        id: String,
        modRevision: Long,
    ) = modRevision <= revision && id !in jobs

    /** Lists or watches on whenever neither is under way. */
    fun drive() {
        dependencies.drive()
        if (requestOpen || clock.steadyMs < retryAt) return
        requestOpen = true
        if (isLoaded) watch() else listings.read(::listed)
    }

    private fun listed(result: ReadResult<Listing>) {
        requestEnded()
        if (result is ReadResult.Found) install(result.value)
    }

    private fun install(listing: Listing) {
        closeUnlisted(listing)
        replicatedLeadership.setLastStepDown(listing.lastStepDown?.value)
        replicatedLeadership.set(listing.leadership?.value, listing.leadership?.modRevision ?: 0)
        catalog.setStored(listing.catalog?.value)
        for (stored in listing.jobs) {
            val id = stored.key.removePrefix(Keys.JOBS)
            if (!isPast(id, stored.modRevision)) openJobs.putStored(stored.key, stored.value, stored.modRevision)
        }
        revision = listing.firstRevision
        completeAt = listing.askedAt
        isLoaded = true
        retryAt = Long.MIN_VALUE
        log.info("read {} open jobs; revision={}", jobs.size, revision)
        drive()
    }

    /** Jobs that are open here and not listed are over, or were accepted after the listing began. */
    private fun closeUnlisted(listing: Listing) {
        val listedIds = listing.jobs.mapTo(HashSet()) { it.key.removePrefix(Keys.JOBS) }
        val gone = jobs.values.filter { it.id !in listedIds && it.modRevision <= listing.firstRevision }
        for (job in gone) openJobs.close(job.id)
    }

    private fun watch() {
        val askedAt = clock.steadyMs
        state.watch(Keys.WATCHED, revision) { result ->
            requestEnded()
            when (result) {
                is ReadResult.Found -> {
                    apply(result.value)
                    completeAt = askedAt
                    retryAt = Long.MIN_VALUE
                    drive()
                }

                ReadResult.Absent -> {
                    log.warn("the watch fell behind; reading all keys again")
                    isLoaded = false
                    retryAt = Long.MIN_VALUE
                    drive()
                }

                ReadResult.Failed -> {
                    Unit
                }
            }
        }
    }

    private fun apply(reply: WatchReply) {
        for (event in reply.events) {
            events.apply(event)
            if (event.modRevision > revision) revision = event.modRevision
        }
        if (reply.revision > revision) revision = reply.revision
    }

    /**
     * A listing or watch is over. Until what it returned is in the view it counts as failed, so that an exception on
     * the way does not leave this node with an old view for ever.
     */
    private fun requestEnded() {
        requestOpen = false
        retryAt = clock.steadyMs + StoreTuning.RETRY_PAUSE_MS
    }
}
