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
 * Reads the fields of a JSON object by name and type. Every function throws [MalformedSubmission], which names the
 * field, for a value of another type or out of range; those whose name ends in `OrNull` return null for a field that is
 * absent or null, the others throw.
 */
internal class TypedFields(
    private val json: JsonObject,
) {
    /** A string that is not empty. */
    fun text(name: String): String = textOrNull(name) ?: missing(name)

    /** A string that is not empty. */
    fun textOrNull(name: String): String? = value(name)?.let { nonEmptyString(name, it) }

    /** An array of strings, none of which is empty. */
    fun textsOrNull(name: String): List<String>? {
        val value = value(name) ?: return null
        val array = value as? JsonArray ?: throw MalformedSubmission("$name: must be an array")
        return array.map { nonEmptyString(name, it) }
    }

    /** One of the protocol's texts for an enum. */
    fun <E> enumValue(
        name: String,
        values: WireEnumSerializer<E>,
    ): E where E : Enum<E>, E : WireEnum =
        values.of(text(name)) ?: throw MalformedSubmission("$name: must be one of ${values.texts}")

    /** A boolean. */
    fun flag(name: String): Boolean {
        val value = value(name) ?: missing(name)
        return (value as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            ?: throw MalformedSubmission("$name: must be true or false")
    }

    /** An integer in [least]..[most]. */
    fun count(
        name: String,
        least: Int,
        most: Int,
    ): Int {
        val number = number(name) ?: missing(name)
        val count = number.longOrNull ?: throw MalformedSubmission("$name: must be an integer")
        if (count < least || count > most) throw MalformedSubmission("$name: must be from $least to $most")
        return count.toInt()
    }

    /** A decimal number in 0..[ApiTuning.AMOUNT_MAX]. */
    fun amount(name: String): Double = amountOrNull(name) ?: missing(name)

    /** A decimal number in 0..[ApiTuning.AMOUNT_MAX]. */
    fun amountOrNull(name: String): Double? {
        val number = number(name) ?: return null
        val amount = number.doubleOrNull
        // Written so that a NaN is out of range.
        if (amount == null || !(amount >= 0 && amount <= ApiTuning.AMOUNT_MAX)) {
            throw MalformedSubmission("$name: must be a number that is not negative")
        }
        return amount
    }

    private fun value(name: String): JsonElement? = json[name]?.takeIf { it !is JsonNull }

    private fun missing(name: String): Nothing = throw MalformedSubmission("$name: missing")

    private fun nonEmptyString(
        name: String,
        element: JsonElement,
    ): String {
        val primitive = element as? JsonPrimitive
        if (primitive == null || !primitive.isString || primitive.content.isEmpty()) {
            throw MalformedSubmission("$name: must be a string")
        }
        return primitive.content
    }

    private fun number(name: String): JsonPrimitive? {
        val value = value(name) ?: return null
        val primitive = value as? JsonPrimitive
        if (primitive == null || primitive.isString || !NUMBER.matches(primitive.content)) {
            throw MalformedSubmission("$name: must be a number")
        }
        return primitive
    }

    private companion object {
        /** A number as JSON has it; the parser alone would let `1f` or `NaN` through. */
        val NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")
    }
}
