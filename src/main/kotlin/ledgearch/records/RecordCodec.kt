package ledgearch.records

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.JsonElement
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("ledgearch.records")

/** Returns the record stored as [value], or null if there is no value or it is not a record of this type. */
internal fun <T> decodeRecord(
    serializer: DeserializationStrategy<T>,
    value: JsonElement?,
): T? =
    try {
        value?.let { WireJson.decodeFromJsonElement(serializer, it) }
    } catch (exception: SerializationException) {
        log.error("ignoring a record in the state service that can't be decoded: {}", exception.message)
        null
    }

/** Returns [record] in the form in which it is stored. */
internal fun <T> encodeRecord(
    serializer: SerializationStrategy<T>,
    record: T,
): JsonElement = WireJson.encodeToJsonElement(serializer, record)
