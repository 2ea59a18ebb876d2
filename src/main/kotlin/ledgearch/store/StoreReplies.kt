package ledgearch.store

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import ledgearch.http.Reply
import ledgearch.wire.LeaseReply
import ledgearch.wire.TransactionReply
import ledgearch.wire.WireJson

/** Decodes the replies of the state service. A reply that can't be parsed is treated as no usable reply. */
internal object StoreReplies {
    /** Text in the reply to a transaction that puts a key with an expired lease. */
    private const val NO_SUCH_LEASE = "no such lease"

    /** Decodes the reply to a transaction. */
    fun transaction(reply: Reply): TransactionResult =
        when (reply.status) {
            StoreStatus.OK -> {
                parse(reply, TransactionReply.serializer())
                    ?.let { TransactionResult.Committed(it.revision) }
                    ?: TransactionResult.Unknown
            }

            StoreStatus.CONFLICT -> {
                parse(reply, TransactionReply.serializer())
                    ?.let { TransactionResult.Conflict(it.failed) }
                    ?: TransactionResult.Refused
            }

            StoreStatus.BAD_REQUEST -> {
                if (NO_SUCH_LEASE in reply.body) TransactionResult.LeaseExpired else TransactionResult.TooLarge
            }

            StoreStatus.NO_REPLY -> {
                TransactionResult.Unknown
            }

            else -> {
                TransactionResult.Refused
            }
        }

    /** Decodes the reply to a read or a watch with [serializer]. */
    fun <T : Any> read(
        reply: Reply,
        serializer: DeserializationStrategy<T>,
    ): ReadResult<T> =
        when (reply.status) {
            StoreStatus.OK -> parse(reply, serializer)?.let { ReadResult.Found(it) } ?: ReadResult.Failed
            StoreStatus.NOT_FOUND, StoreStatus.GONE -> ReadResult.Absent
            else -> ReadResult.Failed
        }

    /** Decodes the reply to a request to open a lease. */
    fun openLease(reply: Reply): OpenLeaseResult {
        if (reply.status != StoreStatus.OK) return OpenLeaseResult.Failed
        return parse(reply, LeaseReply.serializer())
            ?.let { OpenLeaseResult.Opened(it.leaseId) }
            ?: OpenLeaseResult.Failed
    }

    /** Decodes the reply to a request to keep a lease alive. */
    fun keepAlive(reply: Reply): KeepAliveResult =
        when (reply.status) {
            StoreStatus.OK -> KeepAliveResult.KEPT_ALIVE
            StoreStatus.NOT_FOUND -> KeepAliveResult.EXPIRED
            else -> KeepAliveResult.UNKNOWN
        }

    private fun <T : Any> parse(
        reply: Reply,
        serializer: DeserializationStrategy<T>,
    ): T? =
        try {
            WireJson.decodeFromString(serializer, reply.body)
        } catch (_: SerializationException) {
            null
        }
}
