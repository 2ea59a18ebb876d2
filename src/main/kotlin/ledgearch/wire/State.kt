package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** A key of the state service with its value. */
@Serializable
data class KeyValue(
    /** 1 to 200 bytes without spaces. */
    val key: String,
    /** The stored JSON. */
    @SerialName("v") val value: JsonElement? = null,
    /** The revision of the key's last change. */
    @SerialName("stamp") val modRevision: Long = 0,
    /** The lease that the key is attached to and removed with; null if there is none. */
    @SerialName("permit") val leaseId: Long? = null,
)

/** A page of keys, read at [revision]. */
@Serializable
data class KeyPage(
    /** The keys with their values in key order. */
    val pairs: List<KeyValue> = emptyList(),
    /** Whether more keys follow the last one. */
    val hasNext: Boolean = false,
    /** The revision that the page shows. */
    @SerialName("edition") val revision: Long,
)

/** A condition of a transaction: the last change of [key] was at [modRevision], or the key does not exist. */
@Serializable
data class Condition(
    /** The key to compare. */
    val key: String,
    /** The required revision of the last change; 0 if the key must not exist. */
    @SerialName("stamp") val modRevision: Long,
)

/** A change in a transaction: either a put with its value or a remove. */
@Serializable
data class Change(
    /** The key to put; null in a remove. */
    val put: String? = null,
    /** The value to put; null in a remove. */
    @SerialName("v") val value: JsonElement? = null,
    /** The lease to attach the key to; null detaches it from any lease. */
    @SerialName("permit") val leaseId: Long? = null,
    /** The key to remove; null in a put. */
    val remove: String? = null,
)

/** Changes that are all made if all conditions hold, and otherwise not at all. */
@Serializable
data class Transaction(
    /** The conditions, which must all hold; an empty list always holds. */
    @SerialName("if") val conditions: List<Condition>,
    /** The changes, made at one revision; if empty, the transaction only compares. */
    @SerialName("then") val changes: List<Change>,
)

/** The reply to a transaction: its revision, or the keys whose conditions did not hold. */
@Serializable
data class TransactionReply(
    /** The revision of the changes, or that of the failed comparison. */
    @SerialName("edition") val revision: Long = 0,
    /** The keys whose conditions did not hold; empty if the transaction was committed. */
    val failed: List<String> = emptyList(),
)

/** A request for a lease. */
@Serializable
data class LeaseRequest(
    /** Time to live (ms), 100 to 600,000. */
    @SerialName("lifeMs") val ttlMs: Long,
)

/** The reply to a request for a lease. */
@Serializable
data class LeaseReply(
    /** Identifies the lease in renewals and in [Change.leaseId]. */
    @SerialName("permit") val leaseId: Long,
)

/** A change of a watched key: either a put with its value or a remove. */
@Serializable
data class WatchEvent(
    /** The key that was put; null for a remove. */
    val put: String? = null,
    /** The value that was put; null for a remove. */
    @SerialName("v") val value: JsonElement? = null,
    /** The revision of this change. */
    @SerialName("stamp") val modRevision: Long = 0,
    /** The key that was removed; null for a put. */
    val remove: String? = null,
)

/** All changes of watched keys up to [revision]. */
@Serializable
data class WatchReply(
    /** The revision up to which [events] is complete; the next watch begins after it. */
    @SerialName("edition") val revision: Long,
    /** The changes in the order in which they were made. */
    @SerialName("news") val events: List<WatchEvent> = emptyList(),
)
