package ledgearch.config

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** The element reached by [steps], names of fields and indices of lists; null when there is none. */
internal fun JsonElement.at(steps: List<String>): JsonElement? =
    steps.fold(this as JsonElement?) { current, step ->
        when (current) {
            is JsonObject -> current[step]
            is JsonArray -> step.toIntOrNull()?.let(current::getOrNull)
            else -> null
        }
    }
