package ledgearch.records

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.JsonElement
import ledgearch.wire.WireJson
import org.slf4j.LoggerFactory

private val log = LoggerFactory.getLogger("ledgearch.records")

/** The record in a stored [value]; null when there is no value, or one that something else must have written. */
internal fun <T> decodeRecord(
    serializer: DeserializationStrategy<T>,
    value: JsonElement?,
): T? =
    try {
        value?.let { WireJson.decodeFromJsonElement(serializer, it) }
    } catch (exception: SerializationException) {
        log.error("a record in the state service can't be read and is left alone: {}", exception.message)
        null
    }

/** [record] as it is stored. */
internal fun <T> encodeRecord(
    serializer: SerializationStrategy<T>,
    record: T,
): JsonElement = WireJson.encodeToJsonElement(serializer, record)
