package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** A key of the state service with its value. */
@Serializable
data class KeyValue(
    val key: String,
    @SerialName("v") val value: JsonElement? = null,
    /** The store's revision of the key's last change. */
    @SerialName("stamp") val modRevision: Long = 0,
    /** The lease that the key is attached to. */
    @SerialName("permit") val leaseId: Long? = null,
)

/** One page of keys in their order, read at [revision]. */
@Serializable
data class KeyPage(
    val pairs: List<KeyValue> = emptyList(),
    val hasNext: Boolean = false,
    @SerialName("edition") val revision: Long,
)

/** What a transaction compares: the key's last change was at [modRevision]; 0: the key does not exist. */
@Serializable
data class Condition(
    val key: String,
    @SerialName("stamp") val modRevision: Long,
)

/** Either a put (with its value) or a remove. */
@Serializable
data class Change(
    val put: String? = null,
    @SerialName("v") val value: JsonElement? = null,
    @SerialName("permit") val leaseId: Long? = null,
    val remove: String? = null,
)

/** Changes that are made together if all conditions hold, and else not at all. */
@Serializable
data class Transaction(
    @SerialName("if") val conditions: List<Condition>,
    @SerialName("then") val changes: List<Change>,
)

/** The answer to a transaction: its revision, or the keys whose condition did not hold. */
@Serializable
data class TransactionReply(
    @SerialName("edition") val revision: Long = 0,
    val failed: List<String> = emptyList(),
)

/** A request for a lease. */
@Serializable
data class LeaseRequest(
    /** Time to live (ms). */
    @SerialName("lifeMs") val ttlMs: Long,
)

/** A lease that was granted. */
@Serializable
data class LeaseReply(
    @SerialName("permit") val leaseId: Long,
)

/** One change of a watched key: either a put (with its value) or a remove. */
@Serializable
data class WatchEvent(
    val put: String? = null,
    @SerialName("v") val value: JsonElement? = null,
    @SerialName("stamp") val modRevision: Long = 0,
    val remove: String? = null,
)

/** All changes of watched keys up to [revision]. */
@Serializable
data class WatchReply(
    @SerialName("edition") val revision: Long,
    @SerialName("news") val events: List<WatchEvent> = emptyList(),
)
