package ledgearch.simulation.store

import ledgearch.config.StateLimits
import ledgearch.http.Reply
import ledgearch.runtime.TokenBucket
import ledgearch.simulation.SimulatedClock
import ledgearch.wire.Transaction

/** The published limits of the [FakeStore] on rates and sizes, and how often they refused a request. */
internal class StoreRateLimits(
    private val clock: SimulatedClock,
    private var limits: StateLimits,
) {
    private val requests = TokenBucket(limits.rps)
    private val writes = TokenBucket(limits.writeRps)

    /** Transactions that were refused with 400 for their size. */
    var tooLarge = 0
        private set

    /** Requests that were refused with 429. */
    var tooMany = 0
        private set

    /** From now on, without notice; what is stored stays readable. */
    fun change(to: StateLimits) {
        limits = to
        requests.permitsPerSecond = to.rps
        writes.permitsPerSecond = to.writeRps
    }

    /** The answer to a request that the limits on rates or sizes refuse; otherwise none. */
    fun refusal(
        transaction: Transaction?,
        body: String,
    ): Reply? {
        if (!passes(transaction?.changes?.size ?: 0)) {
            tooMany++
            return Reply(429, "")
        }
        if (transaction != null && isTooLarge(transaction, body)) {
            tooLarge++
            return Reply(400, """{"error":"too large"}""")
        }
        return null
    }

    private fun passes(changes: Int): Boolean {
        requests.refill(clock.now)
        writes.refill(clock.now)
        if (!requests.hasPermits(1) || !writes.hasPermits(changes)) return false
        requests.take(1)
        writes.take(changes)
        return true
    }

    private fun isTooLarge(
        transaction: Transaction,
        body: String,
    ) = transaction.changes.size > limits.txnOps ||
        transaction.conditions.size > limits.txnOps * CONDITIONS_A_CHANGE ||
        sizeOf(body) > TRANSACTION_BYTES ||
        transaction.changes.any { sizeOf(it.value.toString()) > limits.valueKb * 1024 }

    private fun sizeOf(text: String) = text.encodeToByteArray().size

    private companion object {
        const val TRANSACTION_BYTES = 64 * 1024
        const val CONDITIONS_A_CHANGE = 4
    }
}
