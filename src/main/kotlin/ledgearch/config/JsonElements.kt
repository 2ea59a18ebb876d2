package ledgearch.config

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Returns the element at the path [steps] of field names and list indices, or null if there is none. */
internal fun JsonElement.elementAt(steps: List<String>): JsonElement? =
    steps.fold(this as JsonElement?) { current, step ->
        when (current) {
            is JsonObject -> current[step]
            is JsonArray -> step.toIntOrNull()?.let(current::getOrNull)
            else -> null
        }
    }
