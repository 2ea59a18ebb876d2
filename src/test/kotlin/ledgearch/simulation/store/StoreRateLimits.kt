package ledgearch.simulation.store

import ledgearch.config.StateLimits
import ledgearch.http.Reply
import ledgearch.runtime.TokenBucket
import ledgearch.simulation.SimulatedClock
import ledgearch.wire.Transaction

/** The limits of the [FakeStore] on rates and sizes, with counts of the requests that they refused. */
internal class StoreRateLimits(
    private val clock: SimulatedClock,
    private var limits: StateLimits,
) {
    private val requestTokens = TokenBucket(limits.rps)
    private val writeTokens = TokenBucket(limits.writeRps)

    /** Number of transactions refused with 400 because of their size. */
    var tooLargeCount = 0
        private set

    /** Number of requests refused with 429. */
    var tooManyCount = 0
        private set

    /** Changes the limits without notice. Stored values remain readable. */
    fun change(newLimits: StateLimits) {
        limits = newLimits
        requestTokens.permitsPerSecond = newLimits.rps
        writeTokens.permitsPerSecond = newLimits.writeRps
    }

    /** Returns the reply to a request that the limits refuse, or null if they allow it. */
    fun refusalOf(
        transaction: Transaction?,
        body: String,
    ): Reply? {
        if (!tryAcquire(transaction?.changes?.size ?: 0)) {
            tooManyCount++
            return Reply(429, "")
        }
        if (transaction != null && isTooLarge(transaction, body)) {
            tooLargeCount++
            return Reply(400, """{"error":"too large"}""")
        }
        return null
    }

    private fun tryAcquire(changes: Int): Boolean {
        requestTokens.refill(clock.nowMs)
        writeTokens.refill(clock.nowMs)
        if (!requestTokens.hasPermits(1) || !writeTokens.hasPermits(changes)) return false
        requestTokens.take(1)
        writeTokens.take(changes)
        return true
    }

    private fun isTooLarge(
        transaction: Transaction,
        body: String,
    ) = transaction.changes.size > limits.txnOps ||
        transaction.conditions.size > limits.txnOps * MAX_CONDITIONS_PER_CHANGE ||
        sizeOf(body) > MAX_TRANSACTION_BYTES ||
        transaction.changes.any { sizeOf(it.value.toString()) > limits.valueKb * 1024 }

    private fun sizeOf(text: String) = text.encodeToByteArray().size

    private companion object {
        const val MAX_TRANSACTION_BYTES = 64 * 1024
        const val MAX_CONDITIONS_PER_CHANGE = 4
    }
}
