package ledgearch.wire

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

@Serializable
data class KeyValue(
    val key: String,
    val v: JsonElement? = null,
    val stamp: Long = 0,
    val permit: Long? = null,
)

@Serializable
data class KeyPage(
    val pairs: List<KeyValue> = emptyList(),
    val hasNext: Boolean = false,
    val edition: Long,
)

@Serializable
data class Condition(
    val key: String,
    val stamp: Long,
)

/** Either a put (with its value) or a remove. */
@Serializable
data class Change(
    val put: String? = null,
    val v: JsonElement? = null,
    val permit: Long? = null,
    val remove: String? = null,
)

@Serializable
data class Txn(
    val `if`: List<Condition>,
    val then: List<Change>,
)

@Serializable
data class TxnReply(
    val edition: Long = 0,
    val failed: List<String> = emptyList(),
)

@Serializable
data class LeaseRequest(
    val lifeMs: Long,
)

@Serializable
data class LeaseReply(
    val permit: Long,
)

@Serializable
data class News(
    val put: String? = null,
    val v: JsonElement? = null,
    val stamp: Long = 0,
    val remove: String? = null,
)

@Serializable
data class NewsPage(
    val edition: Long,
    val news: List<News> = emptyList(),
)
