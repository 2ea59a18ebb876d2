package ledgearch.config

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.MissingFieldException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive

/**
 * Describes in one line why [text] does not match [descriptor]. The messages of the parser name classes and parser
 * internals, so only the path of the field is taken from them; the allowed type is read from [descriptor].
 */
@OptIn(ExperimentalSerializationApi::class)
internal class JsonErrorDescriber(
    private val text: String,
    private val descriptor: SerialDescriptor,
) {
    /** Returns the field that caused [parseError] and what is allowed there. */
    fun describe(parseError: SerializationException): String {
        val file =
            try {
                Json.parseToJsonElement(text)
            } catch (syntaxError: SerializationException) {
                return describeSyntax(syntaxError.message.orEmpty())
            }
        val field = FieldPath.parse(parseError.message.orEmpty().substringAfterLast(PATH_MARKER, ""))
        if (parseError is MissingFieldException) {
            return "${parseError.missingFields.joinToString { field.child(it) }}: missing"
        }
        return "$field: ${describeAllowed(field.descriptorIn(descriptor), field.valueIn(file))}"
    }

    /** Parses [message], `... at offset N: PROBLEM at path: ...`; if the text ends too early, it has no offset. */
    private fun describeSyntax(message: String): String {
        val line = message.lineSequence().first().substringBeforeLast(PATH_MARKER)
        val match = OFFSET_PREFIX.find(line)
        val problem = line.substring(match?.range?.let { it.last + 1 } ?: 0).removePrefix(ERROR_PREFIX).trimEnd()
        if (match == null) return "not valid JSON: $problem"
        return "not valid JSON at ${position(match.groupValues[1].toInt())}: $problem"
    }

    private fun position(offset: Int): String {
        val before = text.take(offset)
        return "line ${before.count { it == '\n' } + 1}, column ${before.length - before.lastIndexOf('\n')}"
    }

    private fun describeAllowed(
        expected: SerialDescriptor?,
        actual: JsonElement?,
    ): String =
        when (expected?.kind) {
            StructureKind.CLASS -> "must be an object"
            StructureKind.LIST -> "must be a list"
            PrimitiveKind.STRING -> "must be a string"
            PrimitiveKind.BOOLEAN -> "must be true or false"
            PrimitiveKind.INT -> if (isInteger(actual)) "must be at most ${Int.MAX_VALUE}" else "must be a whole number"
            PrimitiveKind.DOUBLE -> if (isInfinite(actual)) "must be a finite number" else "must be a number"
            else -> "has an unsupported value"
        }

    private fun isInteger(actual: JsonElement?): Boolean =
        (actual as? JsonPrimitive)?.content?.toBigIntegerOrNull() != null

    private fun isInfinite(actual: JsonElement?): Boolean =
        (actual as? JsonPrimitive)?.content?.toDoubleOrNull()?.isInfinite() == true

    private companion object {
        const val PATH_MARKER = " at path: $"
        const val ERROR_PREFIX = "Cannot read Json element because of "
        val OFFSET_PREFIX = Regex("""^.*? at offset (\d+): """)
    }
}

/** Path of a field in a file: field names, and zero-based indices for list elements. */
@OptIn(ExperimentalSerializationApi::class)
private class FieldPath(
    private val steps: List<String>,
) {
    /** Returns the path of the field [name] of the object at this path. */
    fun child(name: String): String = FieldPath(steps + name).toString()

    /** Returns the descriptor of this path in a file with the descriptor [root], or null if there is none. */
    fun descriptorIn(root: SerialDescriptor): SerialDescriptor? {
        var current = root
        for (step in steps) {
            val index = if (current.kind == StructureKind.LIST) 0 else current.getElementIndex(step)
            if (index < 0) return null
            current = current.getElementDescriptor(index)
        }
        return current
    }

    /** Returns the value at this path of [file], or null if there is none. */
    fun valueIn(file: JsonElement): JsonElement? = file.elementAt(steps)

    override fun toString(): String {
        if (steps.isEmpty()) return "the file"
        return steps.joinToString("") { if (it[0].isDigit()) "[$it]" else ".$it" }.removePrefix(".")
    }

    companion object {
        private val STEP = Regex("""[^.\[\]]+""")

        /** Parses a path as the JSON parser writes it, such as `.deployment.teams[0].name`. */
        fun parse(text: String): FieldPath =
            FieldPath(STEP.findAll(text.lineSequence().first().trim()).map { it.value }.toList())
    }
}
