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
    /** The store's revision of the key's last change. */
    @SerialName("stamp") val modRevision: Long = 0,
    /** The lease that the key is attached to, and is removed with; null: none. */
    @SerialName("permit") val leaseId: Long? = null,
)

/** One page of keys in their order, read at [revision]. */
@Serializable
data class KeyPage(
    /** The keys with their values, in key order. */
    val pairs: List<KeyValue> = emptyList(),
    /** Further keys follow the last one. */
    val hasNext: Boolean = false,
    /** The store's revision that the page shows. */
    @SerialName("edition") val revision: Long,
)

/** What a transaction compares: the key's last change was at [modRevision]; 0: the key does not exist. */
@Serializable
data class Condition(
    /** The key to compare. */
    val key: String,
    /** The revision that its last change must have; 0: it must not exist. */
    @SerialName("stamp") val modRevision: Long,
)

/** Either a put (with its value) or a remove. */
@Serializable
data class Change(
    /** The key to write; null in a remove. */
    val put: String? = null,
    /** The value to write. */
    @SerialName("v") val value: JsonElement? = null,
    /** The lease that the written key is attached to; null detaches it. */
    @SerialName("permit") val leaseId: Long? = null,
    /** The key to remove; null in a put. */
    val remove: String? = null,
)

/** Changes that are made together if all conditions hold, and else not at all. */
@Serializable
data class Transaction(
    /** All of them must hold; none always does. */
    @SerialName("if") val conditions: List<Condition>,
    /** Made at one revision; an empty list only compares. */
    @SerialName("then") val changes: List<Change>,
)

/** The answer to a transaction: its revision, or the keys whose condition did not hold. */
@Serializable
data class TransactionReply(
    /** The store's revision with the changes, or at the comparison that failed. */
    @SerialName("edition") val revision: Long = 0,
    /** Keys whose condition did not hold; empty: the transaction was committed. */
    val failed: List<String> = emptyList(),
)

/** A request for a lease. */
@Serializable
data class LeaseRequest(
    /** Time to live (ms), 100 to 600,000. */
    @SerialName("lifeMs") val ttlMs: Long,
)

/** A lease that was granted. */
@Serializable
data class LeaseReply(
    /** Names the lease in renewals and in [Change.leaseId]. */
    @SerialName("permit") val leaseId: Long,
)

/** One change of a watched key: either a put (with its value) or a remove. */
@Serializable
data class WatchEvent(
    /** The key that was written; null for a remove. */
    val put: String? = null,
    /** The value that was written. */
    @SerialName("v") val value: JsonElement? = null,
    /** The store's revision of this change. */
    @SerialName("stamp") val modRevision: Long = 0,
    /** The key that was removed; null for a put. */
    val remove: String? = null,
)

/** All changes of watched keys up to [revision]. */
@Serializable
data class WatchReply(
    /** The store's revision up to which [events] is complete: the next watch begins after it. */
    @SerialName("edition") val revision: Long,
    /** The changes, in their order. */
    @SerialName("news") val events: List<WatchEvent> = emptyList(),
)
