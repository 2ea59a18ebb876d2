package ledgearch.simulation.store

import ledgearch.simulation.SimulatedClock
import ledgearch.wire.Transaction
import kotlin.random.Random

/** Faults of the [FakeStore]: outages, refusals, late or lost replies, and late execution. */
internal class StoreFaults(
    private val clock: SimulatedClock,
    private val random: Random,
) {
    var isDown = false

    /** Delay of the replies to transactions that write. */
    var writeReplyDelayMs = 0L

    /** Delay of the replies to transactions that only compare. */
    var comparisonReplyDelayMs = 0L

    /** Share of the writing transactions that are executed 2 to 12 s late and get no reply. */
    var lateWriteShare = 0.0

    /** Share of the writing transactions that are executed at once and get no reply. */
    var lostReplyShare = 0.0

    /** Share of the pages of a listing that are empty although more keys follow. */
    var emptyPageShare = 0.0

    private var lateWritePrefix = ""
    private var lateWriteDelayMs = 0L
    private var lateWritesUntilMs = 0L

    private val refusedUntilMs = HashMap<String, Long>()
    private val watchRepliesLostUntilMs = HashMap<String, Long>()

    /**
     * Refuses the requests of [node] with 503 until [untilMs]. Its open watches get no reply, and its leases expire.
     */
    fun refuse(
        node: String,
        untilMs: Long,
    ) {
        refusedUntilMs[node] = untilMs
    }

    fun isRefused(node: String) = (refusedUntilMs[node] ?: 0) > clock.nowMs

    /** Executes transactions that change a key with [prefix] late by [delayMs] and without a reply, until [untilMs]. */
    fun delayWritesUnder(
        prefix: String,
        delayMs: Long,
        untilMs: Long,
    ) {
        lateWritePrefix = prefix
        lateWriteDelayMs = delayMs
        lateWritesUntilMs = untilMs
    }

    /** Loses the replies to the watches of [node] until [untilMs]. */
    fun loseWatchReplies(
        node: String,
        untilMs: Long,
    ) {
        watchRepliesLostUntilMs[node] = untilMs
    }

    fun losesWatchReplies(node: String) = (watchRepliesLostUntilMs[node] ?: 0) > clock.nowMs

    /**
     * Returns the delay of the execution of [transaction], which then gets no reply, or null to execute it at once.
     * Draws once for each transaction if the share is set.
     */
    fun drawExecutionDelayMs(transaction: Transaction): Long? =
        when {
            hasLatePrefix(transaction) -> lateWriteDelayMs
            lateWriteShare > 0 && random.nextDouble() < lateWriteShare -> MIN_LATE_MS + random.nextLong(LATE_SPREAD_MS)
            else -> null
        }

    private fun hasLatePrefix(transaction: Transaction) =
        clock.nowMs < lateWritesUntilMs &&
            transaction.changes.any { (it.put ?: it.remove.orEmpty()).startsWith(lateWritePrefix) }

    /** Returns whether the reply to a writing transaction is lost. Draws once for each if the share is set. */
    fun drawLostReply() = lostReplyShare > 0 && random.nextDouble() < lostReplyShare

    /** Returns whether a page of a listing is empty. Draws once for each page if the share is set. */
    fun drawEmptyPage() = emptyPageShare > 0 && random.nextDouble() < emptyPageShare

    private companion object {
        const val MIN_LATE_MS = 2_000L
        const val LATE_SPREAD_MS = 10_000L
    }
}
