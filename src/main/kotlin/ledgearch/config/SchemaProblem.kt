package ledgearch.config

import io.github.optimumcode.json.schema.ValidationError
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Tells in plain words where a [file] breaks the published [schema]. The validator's own messages speak of elements
 * and schemas, so only the places are taken from them; what is allowed is read from the schema.
 */
internal class SchemaProblem(
    private val file: JsonElement,
    private val schema: JsonElement,
) {
    /** The field and what is allowed. */
    fun describe(error: ValidationError): String {
        val field = error.objectPath.toString().removePrefix("/")
        val rulePath = steps(error.schemaPath.toString())
        val rule = schema.at(rulePath)
        val holder = schema.at(rulePath.dropLast(1))
        val value = file.at(steps(error.objectPath.toString()))
        return when (rulePath.lastOrNull()) {
            "type" -> "${field.ifEmpty { "the file" }}: must be ${article(rule)}"
            "minimum" -> "$field: $value must be $rule or more"
            "maximum" -> "$field: $value must be $rule or less"
            "minLength" -> "$field: must not be empty"
            "required" -> "${missing(field, rule, value)}: missing"
            "additionalProperties" -> "$field: unknown; allowed are ${allowedFields(holder)}"
            else -> "$field: ${error.message}"
        }
    }

    private fun article(type: JsonElement?): String =
        when (val name = (type as? JsonPrimitive)?.content) {
            "object" -> "an object"
            "array" -> "a list"
            "integer" -> "a whole number"
            "boolean" -> "true or false"
            else -> "a $name"
        }

    private fun missing(
        field: String,
        required: JsonElement?,
        value: JsonElement?,
    ): String {
        val names = required?.jsonArray.orEmpty().map { it.jsonPrimitive.content }
        return names.filterNot { it in value?.jsonObject.orEmpty() }.joinToString { "$field/$it".removePrefix("/") }
    }

    private fun allowedFields(holder: JsonElement?): String =
        (holder as? JsonObject)
            ?.get("properties")
            ?.jsonObject
            ?.keys
            .orEmpty()
            .joinToString()

    private fun steps(pointer: String): List<String> = pointer.split('/').filter { it.isNotEmpty() }
}
