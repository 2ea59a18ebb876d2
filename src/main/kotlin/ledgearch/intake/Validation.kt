package ledgearch.intake

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import ledgearch.config.Team
import ledgearch.core.Machine
import ledgearch.wire.Rack
import ledgearch.wire.Shapes
import ledgearch.wire.Urgencies
import ledgearch.wire.WireJson
import ledgearch.wire.WorkRequest

/** A submission that is malformed; answered with 400. */
internal class Malformed(message: String) : Exception(message, null, false, false)

internal object Validation {
    private val JOB_ID = Regex("job-[0-9]{1,18}")
    private const val MAX_TASKS = 100_000
    private const val MAX_AMOUNT = 1e9

    fun isJobId(text: String) = JOB_ID.matches(text)

    /** Reads a submission field by field, so that every wrong type is told by name. */
    fun parse(body: String): WorkRequest {
        val json = try {
            WireJson.parseToJsonElement(body) as? JsonObject ?: throw Malformed("not an object")
        } catch (_: SerializationException) {
            throw Malformed("not JSON")
        }
        val fields = Fields(json)
        val request = WorkRequest(
            ref = fields.text("ref"),
            menu = fields.text("menu"),
            crew = fields.text("crew"),
            shape = fields.text("shape"),
            urgency = fields.text("urgency"),
            portions = fields.count("portions", 1, MAX_TASKS),
            vcpus = fields.amount("vcpus"),
            accelerators = fields.amountOr("accelerators", 0.0),
            memoryGb = fields.amount("memoryGb"),
            racks = fields.texts("racks"),
            hall = fields.textOrNull("hall"),
            samePlace = fields.flag("samePlace"),
            apart = fields.flag("apart"),
            borrowed = fields.flag("borrowed"),
            recipe = fields.text("recipe"),
            sizeGb = fields.amountOr("sizeGb", 0.0),
            cookS = fields.amountOr("cookS", 0.0),
            stirS = fields.amountOr("stirS", 0.0),
            plateS = fields.amountOr("plateS", 0.0),
            serveS = fields.amountOrNull("serveS"),
        )
        if (!isJobId(request.ref)) throw Malformed("ref: not a job id")
        if (request.shape !in Shapes.ALL) throw Malformed("shape: must be one of ${Shapes.ALL}")
        if (request.urgency !in Urgencies.ORDER) throw Malformed("urgency: must be one of ${Urgencies.ORDER}")
        if (request.vcpus <= 0 && request.accelerators <= 0 && request.memoryGb <= 0) throw Malformed("vcpus: a task must take something")
        return request
    }

    /** Why the job can never run, or null. */
    fun impossible(r: WorkRequest, team: Team?, racks: Collection<Rack>): String? {
        if (team == null) return "unknown crew"
        val counted = if (r.shape == Shapes.STANDING) r.portions else 1
        if (r.vcpus * counted > team.cpusMax + Machine.ROUNDING) return "more vcpus than the crew's limit"
        if (r.accelerators * counted > team.gpusMax + Machine.ROUNDING) return "more accelerators than the crew's limit"
        val fits = racks.any { rack ->
            (r.racks == null || rack.label in r.racks) &&
                (r.hall == null || r.hall in rack.halls) &&
                r.vcpus <= rack.vcpus && r.accelerators <= rack.accelerators && r.memoryGb <= rack.memoryGb
        }
        return if (fits) null else "fits no allowed rack"
    }

    private class Fields(private val json: JsonObject) {
        private fun value(name: String): JsonElement? = json[name]?.takeIf { it !is JsonNull }

        fun text(name: String) = textOrNull(name) ?: throw Malformed("$name: missing")

        fun textOrNull(name: String): String? = value(name)?.let { string(name, it) }

        fun texts(name: String): List<String>? {
            val array = value(name) ?: return null
            return (array as? JsonArray ?: throw Malformed("$name: must be an array")).map { string(name, it) }
        }

        private fun string(name: String, element: JsonElement): String {
            val p = element as? JsonPrimitive
            if (p == null || !p.isString || p.content.isEmpty()) throw Malformed("$name: must be a string")
            return p.content
        }

        fun flag(name: String): Boolean {
            val v = value(name) ?: return false
            return (v as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull ?: throw Malformed("$name: must be true or false")
        }

        fun count(name: String, least: Int, most: Int): Int {
            val n = number(name)?.longOrNull ?: throw Malformed("$name: must be an integer")
            if (n < least || n > most) throw Malformed("$name: must be from $least to $most")
            return n.toInt()
        }

        fun amount(name: String) = amountOrNull(name) ?: throw Malformed("$name: missing")

        fun amountOr(name: String, default: Double) = amountOrNull(name) ?: default

        fun amountOrNull(name: String): Double? {
            val p = number(name) ?: return null
            val d = p.doubleOrNull
            if (d == null || !(d >= 0 && d <= MAX_AMOUNT)) throw Malformed("$name: must be a number that is not negative")
            return d
        }

        private fun number(name: String): JsonPrimitive? {
            val v = value(name) ?: return null
            val p = v as? JsonPrimitive
            if (p == null || p.isString || p.booleanOrNull != null) throw Malformed("$name: must be a number")
            return p
        }
    }
}
