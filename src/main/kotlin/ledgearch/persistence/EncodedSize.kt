package ledgearch.persistence

import kotlinx.serialization.json.JsonElement

/** The size in bytes of [value] as it is sent. */
internal fun encodedBytes(value: JsonElement): Int = value.toString().encodeToByteArray().size
