package ledgearch.jobs

import ledgearch.records.FinalRecord
import ledgearch.records.Keys
import ledgearch.records.decodeRecord
import ledgearch.runtime.Clock
import ledgearch.runtime.RuntimeTuning
import ledgearch.store.ReadResult
import ledgearch.store.RequestClass
import ledgearch.store.StoreClient
import ledgearch.store.StoreTuning
import ledgearch.wire.KeyPage
import ledgearch.wire.KeyValue
import org.slf4j.LoggerFactory
import java.util.TreeMap

/** Who waits for the read of a final record. */
internal enum class FinalRecordUse {
    /** A user's request, which gets no response before the read has ended. */
    USER_REQUEST,

    /** This node's own view of the dependencies between jobs. */
    DEPENDENCIES,
}

/**
 * Reads the final records of jobs and reports them to [onFinalRecord]. A few are read by key. More are read in pages in
 * the order of the keys, one page at a time: a page decides about every wanted record in its range, so that the number
 * of requests is bounded by the pages of all final records too.
 *
 * The pages take [turns], so that every wanted record is reached after at most two pages for each record that was
 * wanted with it or since. This is checked, see [passedOverCount].
 */
internal class FinalRecordReader(
    private val storeClient: StoreClient,
    private val clock: Clock,
    private val turns: PageTurns = AlternatingPageTurns(),
    private val onFinalRecord: (String, FinalRecord) -> Unit,
) {
    /** A read that waits for its result; the result of a request sent before it, by [sequence], does not count. */
    private class PendingRead(
        val sequence: Long,
        /** Steady-clock time after which the read fails. */
        val deadlineMs: Long,
        /** Number of pages read before. */
        val pageCount: Long,
        val done: (JobReadResult) -> Unit,
    ) {
        val isForUser: Boolean get() = deadlineMs != Long.MAX_VALUE
    }

    /** The reads that no request was sent for, by job id. */
    private val wanted = TreeMap<String, MutableList<PendingRead>>()

    /** The job ids that users wait for, in the order of their requests. */
    private val userIds = LinkedHashSet<String>()
    private var sequence = 0L
    private var singleReadsInFlight = 0
    private var isPageInFlight = false

    /** Steady-clock time before which no request is sent, after a page that could not be read. */
    private var retryAtMs = Long.MIN_VALUE
    private var nextExpiryAtMs = Long.MIN_VALUE

    private val log = LoggerFactory.getLogger("ledgearch.jobs")

    /** Number of pages read so far. */
    private var pageCount = 0L

    /** The largest number of wanted records since none was wanted. */
    private var mostWanted = 0
    private var nextPassedOverLogMs = Long.MIN_VALUE

    /** How often a wanted record was passed over for more pages than allowed; not 0 is a defect. */
    var passedOverCount = 0L
        private set

    /** Reads the final record of the job [id]. Its absence does not show whether the job was accepted. */
    fun read(
        id: String,
        use: FinalRecordUse,
        done: (JobReadResult) -> Unit,
    ) {
        val isForUser = use == FinalRecordUse.USER_REQUEST
        val deadlineMs = if (isForUser) clock.steadyMs + StoreTuning.REQUEST_TIMEOUT_MS else Long.MAX_VALUE
        wanted.getOrPut(id) { ArrayList() }.add(PendingRead(sequence++, deadlineMs, pageCount, done))
        if (isForUser) userIds.add(id)
        if (isForUser && mayReadSingly()) readAllSingly()
    }

    /** Has the wanted record of the job [id] read before others, since a user waits for it. */
    fun prioritize(id: String) {
        if (id in wanted) userIds.add(id)
    }

    /** Sends the next requests, and fails the reads that users have waited for too long. */
    fun runDueWork() {
        failExpired()
        if (wanted.isEmpty()) mostWanted = 0
        if (wanted.isEmpty() || isPageInFlight || clock.steadyMs < retryAtMs) return
        if (mayReadSingly()) readAllSingly() else readPage()
    }

    private fun mayReadSingly() =
        !isPageInFlight && singleReadsInFlight + wanted.size <= JobsTuning.MAX_SINGLE_FINAL_RECORD_READS

    private fun readAllSingly() {
        val reads = wanted.toMap()
        wanted.clear()
        userIds.clear()
        reads.forEach(::readSingly)
    }

    private fun readSingly(
        id: String,
        reads: List<PendingRead>,
    ) {
        singleReadsInFlight++
        storeClient.get(Keys.final(id), RequestClass.ORDINARY) { result ->
            singleReadsInFlight--
            val outcome =
                when (result) {
                    is ReadResult.Found -> decode(id, result.value)
                    ReadResult.Absent -> JobReadResult.Absent
                    ReadResult.Failed -> JobReadResult.Unknown
                }
            reads.forEach { it.done(outcome) }
        }
    }

    private fun readPage() {
        isPageInFlight = true
        val firstId = turns.nextStart(wanted.navigableKeySet(), userIds)
        val sentSequence = sequence
        storeClient.list(Keys.FINALS, keyBefore(firstId), RequestClass.ORDINARY, PAGE_SIZE) { result ->
            isPageInFlight = false
            when (result) {
                is ReadResult.Found -> applyPage(firstId, result.value, sentSequence)
                ReadResult.Absent, ReadResult.Failed -> onPageFailed(sentSequence)
            }
            runDueWork()
        }
    }

    /** Ends the reads in the range of [page], which begins at the job [firstId]. */
    private fun applyPage(
        firstId: String,
        page: KeyPage,
        sentSequence: Long,
    ) {
        val records = page.pairs.associateBy { it.key.removePrefix(Keys.FINALS) }
        val lastId = if (page.hasNext) records.keys.last() else wanted.lastKeyOr(firstId)
        turns.onPageRead(lastId.takeIf { page.hasNext })
        checkNonePassedOver()
        if (lastId < firstId) return
        for (id in wanted.subMap(firstId, true, lastId, true).keys.toList()) {
            val outcome = records[id]?.let { decode(id, it) } ?: JobReadResult.Absent
            end(id, outcome) { outcome is JobReadResult.Ended || it.sequence < sentSequence }
        }
    }

    private fun checkNonePassedOver() {
        pageCount++
        mostWanted = maxOf(mostWanted, wanted.size)
        val oldest = wanted.values.map { it.first() }.minByOrNull { it.sequence } ?: return
        val wantedMeanwhile = mostWanted + (sequence - oldest.sequence)
        if (pageCount - oldest.pageCount <= PAGES_PER_WANTED_RECORD * wantedMeanwhile) return
        passedOverCount++
        if (clock.steadyMs < nextPassedOverLogMs) return
        nextPassedOverLogMs = clock.steadyMs + StoreTuning.PASSED_OVER_LOG_INTERVAL_MS
        log.error("final records are passed over; wanted={} count={}", wanted.size, passedOverCount)
    }

    /** Fails the reads that users wait for; those for the dependencies stay and are repeated. */
    private fun onPageFailed(sentSequence: Long) {
        retryAtMs = clock.steadyMs + StoreTuning.RETRY_DELAY_MS
        for (id in userIds.toList()) end(id, JobReadResult.Unknown) { it.isForUser && it.sequence < sentSequence }
    }

    private fun failExpired() {
        if (clock.steadyMs < nextExpiryAtMs) return
        nextExpiryAtMs = clock.steadyMs + RuntimeTuning.TICK_INTERVAL_MS
        for (id in userIds.toList()) end(id, JobReadResult.Unknown) { it.deadlineMs <= clock.steadyMs }
        userIds.retainAll(wanted.keys)
    }

    /** Ends the reads of the job [id] that [isEnded] selects, with [outcome]. */
    private fun end(
        id: String,
        outcome: JobReadResult,
        isEnded: (PendingRead) -> Boolean,
    ) {
        val (ended, remaining) = wanted[id]?.partition(isEnded) ?: return
        if (remaining.isEmpty()) wanted.remove(id) else wanted[id] = remaining.toMutableList()
        ended.forEach { it.done(outcome) }
    }

    private fun decode(
        id: String,
        stored: KeyValue,
    ): JobReadResult {
        val record = decodeRecord(FinalRecord.serializer(), stored.value) ?: return JobReadResult.Unknown
        onFinalRecord(id, record)
        return JobReadResult.Ended(record)
    }

    private companion object {
        /** Rounds over all wanted records take turns with the pages for users. */
        const val PAGES_PER_WANTED_RECORD = 2

        const val PAGE_SIZE = JobsTuning.FINAL_RECORDS_PER_PAGE

        /** Sorts after every character of a job id. */
        const val LAST_CHARACTER = '~'

        /** Returns a key before that of the final record of the job [id] and after those of all smaller job ids. */
        fun keyBefore(id: String): String {
            val key = Keys.final(id)
            return key.dropLast(1) + (key.last() - 1) + LAST_CHARACTER
        }

        fun TreeMap<String, *>.lastKeyOr(default: String) = if (isEmpty()) default else lastKey()
    }
}
