package ledgearch.runtime

import ledgearch.config.ExternalServiceAddresses
import ledgearch.http.Reply

/** Counts and times all calls that the owner makes through [inner], by the kind of peer. */
internal class MeteredTransport(
    private val inner: Transport,
    private val externalServices: ExternalServiceAddresses,
    private val metrics: Metrics,
    private val clock: Clock,
) : Transport {
    /** Kinds of peers; [label] is the kind of exchange in [Metrics]. */
    private enum class Peer(
        val label: String,
    ) {
        CLOUD("cloud"),
        STATE("state"),
        WORKER("worker"),
    }

    override fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        onReply: (Reply) -> Unit,
    ) {
        val peer = peerAt(address)
        if (peer == Peer.STATE && isWatch(target)) return inner.call(address, method, target, body, timeoutMs, onReply)
        val startedAtMs = clock.steadyMs
        inner.call(address, method, target, body, timeoutMs) { reply ->
            metrics.recordExchange(peer.label, reply.status, startedAtMs)
            onReply(reply)
        }
    }

    private fun peerAt(address: String): Peer =
        when (address) {
            externalServices.cloud -> Peer.CLOUD
            externalServices.state -> Peer.STATE
            else -> Peer.WORKER
        }

    /** Returns whether [target] is a watch, which is answered only on a change, so that its latency says nothing. */
    private fun isWatch(target: String): Boolean = target.startsWith("/changes")
}
