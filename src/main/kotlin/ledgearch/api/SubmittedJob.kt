package ledgearch.api

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.Priority
import ledgearch.wire.WireEnum
import ledgearch.wire.WireEnumSerializer
import ledgearch.wire.WireJson

/** A submission that is malformed; answered with 400. */
internal class MalformedSubmission(
    message: String,
) : Exception(message, null, false, false)

/** What was submitted: an object that names a job, the rest of it not yet looked at. */
internal class SubmittedJob private constructor(
    val id: String,
    private val json: JsonObject,
) {
    /** Read field by field, so that every wrong type is told by name. Only what may be null may be left out. */
    fun request(): JobSpec {
        val request =
            JobSpec(
                id = id,
                jobClass = text("menu"),
                team = text("crew"),
                kind = enumValue("shape", JobKind.Serializer),
                priority = enumValue("urgency", Priority.Serializer),
                taskCount = count("portions", 1, MAX_TASKS),
                vcpus = amount("vcpus"),
                accelerators = amount("accelerators"),
                memoryGb = amount("memoryGb"),
                machineTypes = textsOrNull("racks"),
                zone = textOrNull("hall"),
                singleZone = flag("samePlace"),
                spreadZones = flag("apart"),
                allowsSpot = flag("borrowed"),
                image = text("recipe"),
                imageGb = amount("sizeGb"),
                estimatedRunS = amount("cookS"),
                checkpointIntervalS = amount("stirS"),
                checkpointS = amount("plateS"),
                deadlineS = amountOrNull("serveS"),
                dependsOn = dependenciesOrNull(),
            )
        if (request.vcpus <= 0 && request.accelerators <= 0 &&
            request.memoryGb <= 0
        ) {
            throw MalformedSubmission("vcpus: a task must take something")
        }
        return request
    }

    private fun value(name: String): JsonElement? = json[name]?.takeIf { it !is JsonNull }

    private fun missing(name: String): Nothing = throw MalformedSubmission("$name: missing")

    private fun text(name: String) = textOrNull(name) ?: missing(name)

    private fun <E> enumValue(
        name: String,
        values: WireEnumSerializer<E>,
    ): E where E : Enum<E>, E : WireEnum =
        values.of(text(name)) ?: throw MalformedSubmission("$name: must be one of ${values.texts}")

    private fun textOrNull(name: String): String? = value(name)?.let { string(name, it) }

    private fun textsOrNull(name: String): List<String>? {
        val array = value(name) ?: return null
        return (array as? JsonArray ?: throw MalformedSubmission("$name: must be an array")).map { string(name, it) }
    }

    /** Each dependency once; null where none is. */
    private fun dependenciesOrNull(): List<String>? {
        val ids = textsOrNull(DEPENDS_ON)?.distinct().orEmpty()
        for (awaited in ids) {
            if (!Validation.isJobId(awaited)) throw MalformedSubmission("$DEPENDS_ON: \"$awaited\" is not a job id")
            if (awaited == id) throw MalformedSubmission("$DEPENDS_ON: a job can't wait for itself")
        }
        return ids.ifEmpty { null }
    }

    private fun string(
        name: String,
        element: JsonElement,
    ): String {
        val p = element as? JsonPrimitive
        if (p == null || !p.isString || p.content.isEmpty()) throw MalformedSubmission("$name: must be a string")
        return p.content
    }

    private fun flag(name: String): Boolean {
        val element = value(name) ?: missing(name)
        return (element as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull
            ?: throw MalformedSubmission("$name: must be true or false")
    }

    private fun count(
        name: String,
        least: Int,
        most: Int,
    ): Int {
        val n = (number(name) ?: missing(name)).longOrNull ?: throw MalformedSubmission("$name: must be an integer")
        if (n < least || n > most) throw MalformedSubmission("$name: must be from $least to $most")
        return n.toInt()
    }

    private fun amount(name: String) = amountOrNull(name) ?: missing(name)

    private fun amountOrNull(name: String): Double? {
        val d = (number(name) ?: return null).doubleOrNull
        if (d == null ||
            !(d >= 0 && d <= MAX_AMOUNT)
        ) {
            throw MalformedSubmission("$name: must be a number that is not negative")
        }
        return d
    }

    private fun number(name: String): JsonPrimitive? {
        val p = (value(name) ?: return null) as? JsonPrimitive
        if (p == null || p.isString || !NUMBER.matches(p.content)) throw MalformedSubmission("$name: must be a number")
        return p
    }

    companion object {
        private const val DEPENDS_ON = "awaits"
        private const val MAX_TASKS = 100_000
        private const val MAX_AMOUNT = 1e9

        /** As JSON has it; the parser alone would let `1f` or `NaN` through. */
        private val NUMBER = Regex("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?")

        fun read(body: String): SubmittedJob {
            if (depth(body) > ApiTuning.SUBMISSION_DEPTH) throw MalformedSubmission("too deep")
            val json =
                try {
                    WireJson.parseToJsonElement(body) as? JsonObject ?: throw MalformedSubmission("not an object")
                } catch (_: SerializationException) {
                    throw MalformedSubmission("not JSON")
                }
            val id =
                (json["ref"] as? JsonPrimitive)?.takeIf { it.isString }?.content
                    ?: throw MalformedSubmission("ref: missing")
            if (!Validation.isJobId(id)) throw MalformedSubmission("ref: not a job id")
            return SubmittedJob(id, json)
        }

        /** How deep brackets outside strings nest. */
        private fun depth(body: String): Int {
            var depth = 0
            var deepest = 0
            var quoted = false
            var i = 0
            while (i < body.length) {
                when (body[i]) {
                    '"' -> quoted = !quoted
                    '\\' -> if (quoted) i++
                    '[', '{' -> if (!quoted) deepest = maxOf(deepest, ++depth)
                    ']', '}' -> if (!quoted) depth--
                }
                i++
            }
            return deepest
        }
    }
}
