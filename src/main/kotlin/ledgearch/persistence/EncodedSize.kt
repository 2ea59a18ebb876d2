package ledgearch.persistence

import kotlinx.serialization.json.JsonElement

/** Returns the size of [value] in bytes as it is sent to the state service. */
internal fun encodedBytes(value: JsonElement): Int = value.toString().encodeToByteArray().size
