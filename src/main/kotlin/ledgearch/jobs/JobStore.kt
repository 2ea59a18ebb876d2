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
 * The replicated view that every node has of the watched keys: open jobs, the leadership record and machine types. One
 * listing fills it and a watch then updates it, so changes are applied in the order of their revisions. The view may be
 * stale: replies to users are confirmed first, and the leader's actions are fenced by its token.
 */
internal class JobStore(
    private val storeClient: StoreClient,
    private val clock: Clock,
    listener: JobStoreListener,
    dependencyListener: DependencyListener,
    finalRecordCacheSize: Long,
) {
    private val log = LoggerFactory.getLogger("ledgearch.jobs")
    private val openJobs = OpenJobs(storeClient, clock, listener, dependencyListener, finalRecordCacheSize)
    private val replicatedLeadership = ReplicatedLeadership(clock, listener)
    private val catalog = ReplicatedCatalog(listener)
    private val eventApplier = WatchEventApplier(openJobs, replicatedLeadership, catalog)
    private val listingReader = ListingReader(storeClient, clock)
    private var isRequestPending = false
    private var retryAtMs = Long.MIN_VALUE

    /** Whether the next watch is to end soon. */
    private var isRefreshRequested = false

    /** The open jobs by id, in the order in which this node learned of them. Other classes must not modify it. */
    val jobs: LinkedHashMap<String, Job> = openJobs.byId

    /** Reads the records of single jobs directly, independent of the watch. */
    val recordReader: JobRecordReader get() = openJobs.recordReader

    /** How often a wanted final record was passed over by others; not 0 is a defect. */
    val passedOverCount: Long get() = openJobs.finalRecordReader.passedOverCount

    /** The dependencies between the open jobs. */
    val dependencies: JobDependencies get() = openJobs.dependencies

    /** The machine types by name; empty until a catalog is known. */
    val machineTypes: Map<String, MachineType> get() = catalog.machineTypes

    /** The leadership record; null if there is none or it can't be decoded. */
    val leadership: LeadershipRecord? get() = replicatedLeadership.record

    /** The revision of the leadership record, which is the leader's fencing token; 0 if there is no record. */
    val leadershipRevision: Long get() = replicatedLeadership.revision

    /** The record of the last leader that stepped down for lack of heartbeats; null if there is none. */
    val lastStepDown: StepDownRecord? get() = replicatedLeadership.lastStepDown

    /** The revision up to which the view contains all changes. */
    var revision = 0L
        private set

    /** True if a listing has filled the view and the watch has not fallen behind since. */
    var isLoaded = false
        private set

    /** The steady-clock time up to which the view contains all changes. */
    var completeAsOfMs = Long.MIN_VALUE / 2
        private set

    /** Returns the final record of the job [id]; null if it is not cached on this node. */
    fun finalRecord(id: String): FinalRecord? = openJobs.finalRecord(id)

    /** Records that the job [id] has ended with [record]. */
    fun addFinalRecord(
        id: String,
        record: FinalRecord,
    ) = openJobs.addFinalRecord(id, record)

    /** Replaces the machine types. */
    fun setMachineTypes(newTypes: List<MachineType>) = catalog.set(newTypes)

    /** Returns the nodes except [excludedNode] that are leader or were within the last [withinMs]. */
    fun recentLeaders(
        excludedNode: String,
        withinMs: Long,
    ): Set<String> = replicatedLeadership.recentLeaders(excludedNode, withinMs)

    /**
     * Opens a job that this node made durable in a transaction that also compared its own leadership. Jobs reach the
     * view in no other way than this or the watch: a leader that learned of a job out of order could start tasks that a
     * newer leader starts too.
     */
    fun openAcceptedJob(
        record: JobRecord,
        modRevision: Long,
    ) {
        if (!hasEnded(record.spec.id, modRevision)) openJobs.put(record, modRevision)
    }

    /** Returns whether the view contains all changes up to [modRevision] but not the job [id], which has thus ended. */
    private fun hasEnded(
        id: String,
        modRevision: Long,
    ) = modRevision <= revision && id !in jobs

    /** Makes the next watch end soon even without a change, so that it shows that the view is complete. */
    fun refreshSoon() {
        isRefreshRequested = true
    }

    /** Reads due final records of dependencies and starts the listing or the next watch unless one is pending. */
    fun runDueWork() {
        dependencies.runDueWork()
        openJobs.finalRecordReader.runDueWork()
        if (isRequestPending || clock.steadyMs < retryAtMs) return
        isRequestPending = true
        if (isLoaded) watch() else listingReader.read(::onListed)
    }

    private fun onListed(result: ReadResult<Listing>) {
        onRequestEnded()
        if (result is ReadResult.Found) applyListing(result.value)
    }

    private fun applyListing(listing: Listing) {
        closeUnlisted(listing)
        replicatedLeadership.setLastStepDown(listing.lastStepDown?.value)
        replicatedLeadership.set(listing.leadership?.value, listing.leadership?.modRevision ?: 0)
        catalog.setStored(listing.catalog?.value)
        for (stored in listing.jobs) {
            val id = stored.key.removePrefix(Keys.JOBS)
            if (!hasEnded(id, stored.modRevision)) openJobs.putStored(stored.key, stored.value, stored.modRevision)
        }
        revision = listing.firstRevision
        completeAsOfMs = listing.startedAtMs
        isLoaded = true
        retryAtMs = Long.MIN_VALUE
        log.info("read {} open jobs; revision={}", jobs.size, revision)
        runDueWork()
    }

    /** Closes the open jobs that are not listed, except those accepted after the listing began. */
    private fun closeUnlisted(listing: Listing) {
        val listedIds = listing.jobs.mapTo(HashSet()) { it.key.removePrefix(Keys.JOBS) }
        val endedJobs = jobs.values.filter { it.id !in listedIds && it.modRevision <= listing.firstRevision }
        for (job in endedJobs) openJobs.close(job.id)
    }

    private fun watch() {
        val sentAtMs = clock.steadyMs
        val blockMs = if (isRefreshRequested) StoreTuning.SHORT_WATCH_BLOCK_MS else StoreTuning.WATCH_BLOCK_MS
        isRefreshRequested = false
        storeClient.watch(Keys.WATCHED, revision, blockMs) { result ->
            onRequestEnded()
            when (result) {
                is ReadResult.Found -> {
                    apply(result.value)
                    completeAsOfMs = sentAtMs
                    retryAtMs = Long.MIN_VALUE
                    runDueWork()
                }

                ReadResult.Absent -> {
                    log.warn("the watch fell behind; listing all watched keys again")
                    isLoaded = false
                    retryAtMs = Long.MIN_VALUE
                    runDueWork()
                }

                ReadResult.Failed -> {
                    Unit
                }
            }
        }
    }

    private fun apply(reply: WatchReply) {
        for (event in reply.events) {
            eventApplier.apply(event)
            if (event.modRevision > revision) revision = event.modRevision
        }
        if (reply.revision > revision) revision = reply.revision
    }

    /**
     * Called when a listing or watch has ended, before its result is applied. Schedules a retry, so that an exception
     * while the result is applied does not end the replication.
     */
    private fun onRequestEnded() {
        isRequestPending = false
        retryAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
    }
}
