package ledgearch.config

import io.github.optimumcode.json.schema.ValidationError
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/**
 * Describes where a [file] violates the published [schema]. The messages of the validator are about elements and
 * schemas, so only the paths are taken from its errors; what is allowed is read from the schema.
 */
internal class SchemaErrorDescriber(
    private val file: JsonElement,
    private val schema: JsonElement,
) {
    /** Returns the field that caused [error] and what is allowed there. */
    fun describe(error: ValidationError): String {
        val field = error.objectPath.toString().removePrefix("/")
        val keywordPath = steps(error.schemaPath.toString())
        val keyword = schema.elementAt(keywordPath)
        val fieldSchema = schema.elementAt(keywordPath.dropLast(1))
        val value = file.elementAt(steps(error.objectPath.toString()))
        return when (keywordPath.lastOrNull()) {
            "type" -> "${field.ifEmpty { "the file" }}: must be ${describeType(keyword)}"
            "minimum" -> "$field: $value must be $keyword or more"
            "maximum" -> "$field: $value must be $keyword or less"
            "minLength" -> "$field: must not be empty"
            "required" -> "${missingFields(field, keyword, value)}: missing"
            "additionalProperties" -> "$field: unknown; allowed are ${allowedFields(fieldSchema)}"
            else -> "$field: ${error.message}"
        }
    }

    private fun describeType(type: JsonElement?): String =
        when (val name = (type as? JsonPrimitive)?.content) {
            "object" -> "an object"
            "array" -> "a list"
            "integer" -> "a whole number"
            "boolean" -> "true or false"
            else -> "a $name"
        }

    private fun missingFields(
        field: String,
        required: JsonElement?,
        value: JsonElement?,
    ): String {
        val names = required?.jsonArray.orEmpty().map { it.jsonPrimitive.content }
        return names.filterNot { it in value?.jsonObject.orEmpty() }.joinToString { "$field/$it".removePrefix("/") }
    }

    private fun allowedFields(fieldSchema: JsonElement?): String =
        (fieldSchema as? JsonObject)
            ?.get("properties")
            ?.jsonObject
            ?.keys
            .orEmpty()
            .joinToString()

    private fun steps(pointer: String): List<String> = pointer.split('/').filter { it.isNotEmpty() }
}
