package ledgearch.jobs

import ledgearch.records.Keys
import ledgearch.runtime.Clock
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue

/** The watched keys as one listing has read them, page by page. */
internal class Listing(
    /** Steady ms at which the first page was asked for. */
    val askedAt: Long,
) {
    /** The records of open jobs. */
    val jobs = ArrayList<KeyValue>()

    /** The leadership record; null when there is none. */
    var leadership: KeyValue? = null
        private set

    /** The step-down record; null when there is none. */
    var lastStepDown: KeyValue? = null
        private set

    /** The catalog; null when there is none. */
    var catalog: KeyValue? = null
        private set

    /** The revision of the first page: later changes may be in the listing or not, and a watch has to start here. */
    var firstRevision = NO_REVISION
        private set

    /** Adds what [page] holds. */
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
        /** No page was added yet. */
        const val NO_REVISION = -1L
    }
}

/** Reads a [Listing] of the watched keys. */
internal class ListingReader(
    private val state: StoreClient,
    private val clock: Clock,
) {
    /** Reads all pages; [done] gets the listing, or [ReadResult.Failed] as soon as one page can't be read. */
    fun read(done: (ReadResult<Listing>) -> Unit) = readPage(Listing(clock.steadyMs), 0, null, done)

    private fun readPage(
        listing: Listing,
        prefixIndex: Int,
        since: String?,
        done: (ReadResult<Listing>) -> Unit,
    ) {
        state.list(PREFIXES[prefixIndex], since, RequestClass.CRITICAL) { result ->
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
         * Read one after the other. The leadership record is read last: jobs read while it still stood were accepted
         * under it.
         */
        val PREFIXES = listOf(Keys.CATALOG, Keys.JOBS, Keys.LEADERSHIP)
    }
}
