package ledgearch.runtime

import ledgearch.config.OutsideAddresses
import ledgearch.http.Reply

/** Measures all calls that the owner makes. */
internal class MeteredTransport(
    private val inner: Transport,
    private val outside: OutsideAddresses,
    private val metrics: Metrics,
    private val clock: Clock,
) : Transport {
    override fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        done: (Reply) -> Unit,
    ) {
        val what =
            when {
                address == outside.cloud -> "cloud"

                address != outside.state -> "worker"

                // A watch is answered when something changes: how long that took says nothing.
                target.startsWith("/changes") -> return inner.call(address, method, target, body, timeoutMs, done)

                else -> "state"
            }
        val startedAt = clock.steadyMs
        inner.call(address, method, target, body, timeoutMs) { reply ->
            metrics.answered(what, reply.status, startedAt)
            done(reply)
        }
    }
}
