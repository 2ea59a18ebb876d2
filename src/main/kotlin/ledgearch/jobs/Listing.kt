package ledgearch.jobs

import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue

/** The watched keys as read page by page. */
internal class Listing(
    /** The steady-clock time at which the first page was requested. */
    val startedAtMs: Long,
) {
    /** The records of open jobs. */
    val jobs = ArrayList<KeyValue>()

    /** The leadership record; null if there is none. */
    var leadership: KeyValue? = null
        private set

    /** The step-down record; null if there is none. */
    var lastStepDown: KeyValue? = null
        private set

    /** The catalog; null if there is none. */
    var catalog: KeyValue? = null
        private set

    /** The revision of the first page. A watch has to start from it, as the listing may lack some later changes. */
    var firstRevision = NO_REVISION
        private set

    /** Adds the records on [page]. */
    fun add(page: KeyPage) {
        if (firstRevision < 0) firstRevision = page.revision
        for (pair in page.pairs) {
            when {
                pair.key.startsWith(Keys.JOBS) -> jobs.add(pair)
                pair.key == Keys.leadership(0) -> leadership = pair
                pair.key == Keys.stepDown(0) -> lastStepDown = pair
                pair.key == Keys.CATALOG -> catalog = pair
            }
        }
    }

    private companion object {
        /** The initial value of [firstRevision], before the first page. */
        const val NO_REVISION = -1L
    }
}

/** Reads listings of the watched keys. */
internal class ListingReader(
    private val storeClient: StoreClient,
    private val clock: Clock,
) {
    /** Reads all pages and passes the listing to [done], or [ReadResult.Failed] as soon as one page can't be read. */
    fun read(done: (ReadResult<Listing>) -> Unit) = readPage(Listing(clock.steadyMs), 0, null, done)

    private fun readPage(
        listing: Listing,
        prefixIndex: Int,
        afterKey: String?,
        done: (ReadResult<Listing>) -> Unit,
    ) {
        storeClient.list(PREFIXES[prefixIndex], afterKey, RequestClass.CRITICAL) { result ->
            if (result !is ReadResult.Found) {
                done(ReadResult.Failed)
                return@list
            }
            val page = result.value
            listing.add(page)
            when {
                page.hasNext -> readPage(listing, prefixIndex, page.pairs.last().key, done)
                prefixIndex + 1 < PREFIXES.size -> readPage(listing, prefixIndex + 1, null, done)
                else -> done(ReadResult.Found(listing))
            }
        }
    }

    private companion object {
        /**
         * The prefixes in the order of reading. The leadership record is read last, so that no listed job was accepted
         * under a newer one.
         */
        val PREFIXES = listOf(Keys.CATALOG, Keys.JOBS, Keys.LEADERSHIP)
    }
}
