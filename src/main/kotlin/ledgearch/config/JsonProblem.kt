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
 * Tells in one plain line why [text] has not the form of [descriptor]. The parser's own messages name classes and its
 * inner workings, so only the path of the field is taken from them; what is allowed there is read from [descriptor].
 */
@OptIn(ExperimentalSerializationApi::class)
internal class JsonProblem(
    private val text: String,
    private val descriptor: SerialDescriptor,
) {
    /** The field and what is allowed, for the [parseError] of the whole file. */
    fun describe(parseError: SerializationException): String {
        val file =
            try {
                Json.parseToJsonElement(text)
            } catch (syntaxError: SerializationException) {
                return describeSyntax(syntaxError.message.orEmpty())
            }
        val field = FieldPath.parse(parseError.message.orEmpty().substringAfterLast(PATH_MARK, ""))
        if (parseError is MissingFieldException) {
            return "${parseError.missingFields.joinToString { field.child(it) }}: missing"
        }
        return "$field: ${allowed(field.descriptorIn(descriptor), field.valueIn(file))}"
    }

    /** The message is `... at offset N: WHAT at path: ...`, without an offset where the text ends too early. */
    private fun describeSyntax(message: String): String {
        val line = message.lineSequence().first().substringBeforeLast(PATH_MARK)
        val match = OFFSET.find(line)
        val problem = line.substring(match?.range?.let { it.last + 1 } ?: 0).removePrefix(UNREADABLE).trimEnd()
        if (match == null) return "not valid JSON: $problem"
        return "not valid JSON at ${position(match.groupValues[1].toInt())}: $problem"
    }

    private fun position(offset: Int): String {
        val before = text.take(offset)
        return "line ${before.count { it == '\n' } + 1}, column ${before.length - before.lastIndexOf('\n')}"
    }

    private fun allowed(
        wanted: SerialDescriptor?,
        found: JsonElement?,
    ): String =
        when (wanted?.kind) {
            StructureKind.CLASS -> "must be an object"
            StructureKind.LIST -> "must be a list"
            PrimitiveKind.STRING -> "must be a string"
            PrimitiveKind.BOOLEAN -> "must be true or false"
            PrimitiveKind.INT -> if (isInteger(found)) "must be at most ${Int.MAX_VALUE}" else "must be a whole number"
            PrimitiveKind.DOUBLE -> if (isInfinite(found)) "must be a finite number" else "must be a number"
            else -> "has a value that can't be used"
        }

    private fun isInteger(found: JsonElement?): Boolean =
        (found as? JsonPrimitive)?.content?.toBigIntegerOrNull() != null

    private fun isInfinite(found: JsonElement?): Boolean =
        (found as? JsonPrimitive)?.content?.toDoubleOrNull()?.isInfinite() == true

    private companion object {
        const val PATH_MARK = " at path: $"
        const val UNREADABLE = "Cannot read Json element because of "
        val OFFSET = Regex("""^.*? at offset (\d+): """)
    }
}

/** The place of a field in a file: names of fields and, for the elements of lists, their indices from 0. */
@OptIn(ExperimentalSerializationApi::class)
private class FieldPath(
    private val steps: List<String>,
) {
    /** The path of the field [name] of the object at this path. */
    fun child(name: String): String = FieldPath(steps + name).toString()

    /** The form that this place of a file of form [root] has; null when that is not known. */
    fun descriptorIn(root: SerialDescriptor): SerialDescriptor? {
        var current = root
        for (step in steps) {
            val index = if (current.kind == StructureKind.LIST) 0 else current.getElementIndex(step)
            if (index < 0) return null
            current = current.getElementDescriptor(index)
        }
        return current
    }

    /** The value at this place of [file]; null when there is none. */
    fun valueIn(file: JsonElement): JsonElement? = file.at(steps)

    override fun toString(): String {
        if (steps.isEmpty()) return "the file"
        return steps.joinToString("") { if (it[0].isDigit()) "[$it]" else ".$it" }.removePrefix(".")
    }

    companion object {
        private val STEP = Regex("""[^.\[\]]+""")

        /** Reads the parser's form, such as `.deployment.teams[0].name`. */
        fun parse(text: String): FieldPath =
            FieldPath(STEP.findAll(text.lineSequence().first().trim()).map { it.value }.toList())
    }
}
