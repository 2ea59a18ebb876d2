package ledgearch.api

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import ledgearch.wire.WireEnum
import ledgearch.wire.WireEnumSerializer

/**
 * Reads the fields of a JSON object by name and type. If a value has another type or is out of range, every function
 * throws a [MalformedSubmissionException] that names the field. Functions whose name ends in `OrNull` return null for a
 * field that is absent or null; the others throw.
 */
internal class TypedFields(
    private val json: JsonObject,
) {
    /** Returns a non-empty string. */
    fun string(name: String): String = stringOrNull(name) ?: missing(name)

    /** Returns a non-empty string. */
    fun stringOrNull(name: String): String? = value(name)?.let { nonEmptyString(name, it) }

    /** Returns an array of non-empty strings. */
    fun stringsOrNull(name: String): List<String>? {
        val value = value(name) ?: return null
        val array = value as? JsonArray ?: throw MalformedSubmissionException("$name: must be an array")
        return array.map { nonEmptyString(name, it) }
    }

    /** Returns the enum value of one of the protocol's texts. */
    fun <E> enumValue(
        name: String,
        values: WireEnumSerializer<E>,
    ): E where E : Enum<E>, E : WireEnum =
        values.fromText(string(name)) ?: throw MalformedSubmissionException("$name: must be one of ${values.texts}")

    /** Returns a boolean. */
    fun boolean(name: String): Boolean {
        val value = value(name) ?: missing(name)
        return (value as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            ?: throw MalformedSubmissionException("$name: must be true or false")
    }

    /** Returns an integer in [min]..[max]. */
    fun int(
        name: String,
        min: Int,
        max: Int,
    ): Int {
        val number = jsonNumberOrNull(name) ?: missing(name)
        val value = number.longOrNull ?: throw MalformedSubmissionException("$name: must be an integer")
        if (value < min || value > max) throw MalformedSubmissionException("$name: $value must be from $min to $max")
        return value.toInt()
    }

    /** Returns a decimal number in 0..[ApiTuning.MAX_AMOUNT]. */
    fun nonNegativeNumber(name: String): Double = nonNegativeNumberOrNull(name) ?: missing(name)

    /** Returns a decimal number in 0..[ApiTuning.MAX_AMOUNT]. */
    fun nonNegativeNumberOrNull(name: String): Double? {
        val number = jsonNumberOrNull(name) ?: return null
        val value = number.doubleOrNull
        // The negation makes a NaN out of range.
        if (value == null || !(value >= 0 && value <= ApiTuning.MAX_AMOUNT)) {
            throw MalformedSubmissionException("$name: must be a number from 0 to ${ApiTuning.MAX_AMOUNT}")
        }
        return value
    }

    private fun value(name: String): JsonElement? = json[name]?.takeIf { it !is JsonNull }

    private fun missing(name: String): Nothing = throw MalformedSubmissionException("$name: missing")

    private fun nonEmptyString(
        name: String,
        element: JsonElement,
    ): String {
        val primitive = element as? JsonPrimitive
        if (primitive == null || !primitive.isString || primitive.content.isEmpty()) {
            throw MalformedSubmissionException("$name: must be a non-empty string")
        }
        return primitive.content
    }

    private fun jsonNumberOrNull(name: String): JsonPrimitive? {
        val value = value(name) ?: return null
        val primitive = value as? JsonPrimitive
        if (primitive == null || primitive.isString || !NUMBER.matches(primitive.content)) {
            throw MalformedSubmissionException("$name: must be a number")
        }
        return primitive
    }

    private companion object {
        /** The syntax of a JSON number; the parser alone would accept `1f` or `NaN`. */
        val NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
    }
}
