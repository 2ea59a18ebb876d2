package ledgearch.simulation.store

import ledgearch.simulation.SimulatedClock
import ledgearch.wire.Transaction
import kotlin.random.Random

/** What goes wrong at the [FakeStore]: outages, refusals, late or lost answers, and late execution. */
internal class StoreFaults(
    private val clock: SimulatedClock,
    private val random: Random,
) {
    var isDown = false

    /** ms. How late transactions that write are answered. */
    var slowMs = 0L

    /** ms. How late transactions that only compare are answered. */
    var slowCompareMs = 0L

    /** Share of the transactions that write which get no answer and are executed 2 to 12 s later. */
    var lateShare = 0.0

    /** Share of the transactions that write which are executed at once and get no answer. */
    var unansweredShare = 0.0

    /** Share of the pages of a listing that are empty though keys come after them. */
    var emptyPageShare = 0.0

    private var latePrefix = ""
    private var lateMs = 0L
    private var lateUntil = 0L

    private val refusedUntil = HashMap<String, Long>()
    private val watchAnswersLostUntil = HashMap<String, Long>()

    /** [node] alone gets 503 until then; its open watches wait, and its leases expire. */
    fun refuse(
        node: String,
        until: Long,
    ) {
        refusedUntil[node] = until
    }

    fun isRefused(node: String) = (refusedUntil[node] ?: 0) > clock.now

    /** Transactions that change a key with this prefix get no answer until then, and are executed [ms] later. */
    fun delayWritesUnder(
        prefix: String,
        ms: Long,
        until: Long,
    ) {
        latePrefix = prefix
        lateMs = ms
        lateUntil = until
    }

    /** Answers to this controller's watches are lost until then. */
    fun loseWatchAnswers(
        node: String,
        until: Long,
    ) {
        watchAnswersLostUntil[node] = until
    }

    fun losesWatchAnswers(node: String) = (watchAnswersLostUntil[node] ?: 0) > clock.now

    /** ms. How late [transaction], which gets no answer, is executed; null: at once. Drawn for each transaction. */
    fun executionDelayMs(transaction: Transaction): Long? =
        when {
            isUnderLatePrefix(transaction) -> lateMs
            lateShare > 0 && random.nextDouble() < lateShare -> LATE_FROM_MS + random.nextLong(LATE_SPREAD_MS)
            else -> null
        }

    private fun isUnderLatePrefix(transaction: Transaction) =
        clock.now < lateUntil && transaction.changes.any { (it.put ?: it.remove.orEmpty()).startsWith(latePrefix) }

    /** Whether the answer to a transaction that writes is lost. Drawn for each transaction. */
    fun losesAnswer() = unansweredShare > 0 && random.nextDouble() < unansweredShare

    /** Whether a page of a listing is empty. Drawn for each page. */
    fun emptiesPage() = emptyPageShare > 0 && random.nextDouble() < emptyPageShare

    private companion object {
        const val LATE_FROM_MS = 2_000L
        const val LATE_SPREAD_MS = 10_000L
    }
}
