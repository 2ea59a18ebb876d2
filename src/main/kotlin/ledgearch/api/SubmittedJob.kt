package ledgearch.api

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.Priority
import ledgearch.wire.WireJson

/** The body of a submission: a JSON object that names a job by [id], with its other fields not yet checked. */
internal class SubmittedJob private constructor(
    val id: String,
    private val fields: TypedFields,
) {
    /**
     * The job's description. Throws [MalformedSubmission] for the first field that is missing or invalid: fields are
     * read one by one, so that the error names the field. Only what may be null may be left out.
     */
    fun request(): JobSpec {
        val spec =
            JobSpec(
                id = id,
                jobClass = fields.text(SubmissionField.JOB_CLASS),
                team = fields.text(SubmissionField.TEAM),
                kind = fields.enumValue(SubmissionField.KIND, JobKind.Serializer),
                priority = fields.enumValue(SubmissionField.PRIORITY, Priority.Serializer),
                taskCount = fields.count(SubmissionField.TASK_COUNT, 1, ApiTuning.JOB_TASKS_MAX),
                vcpus = fields.amount(SubmissionField.VCPUS),
                accelerators = fields.amount(SubmissionField.ACCELERATORS),
                memoryGb = fields.amount(SubmissionField.MEMORY_GB),
                machineTypes = fields.textsOrNull(SubmissionField.MACHINE_TYPES),
                zone = fields.textOrNull(SubmissionField.ZONE),
                singleZone = fields.flag(SubmissionField.SINGLE_ZONE),
                spreadZones = fields.flag(SubmissionField.SPREAD_ZONES),
                allowsSpot = fields.flag(SubmissionField.ALLOWS_SPOT),
                image = fields.text(SubmissionField.IMAGE),
                imageGb = fields.amount(SubmissionField.IMAGE_GB),
                estimatedRunS = fields.amount(SubmissionField.ESTIMATED_RUN_S),
                checkpointIntervalS = fields.amount(SubmissionField.CHECKPOINT_INTERVAL_S),
                checkpointS = fields.amount(SubmissionField.CHECKPOINT_S),
                deadlineS = fields.amountOrNull(SubmissionField.DEADLINE_S),
                dependsOn = dependenciesOrNull(),
            )
        if (spec.vcpus <= 0 && spec.accelerators <= 0 && spec.memoryGb <= 0) {
            throw MalformedSubmission("${SubmissionField.VCPUS}: a task must take something")
        }
        return spec
    }

    /** Each dependency once; null where there is none. */
    private fun dependenciesOrNull(): List<String>? {
        val name = SubmissionField.DEPENDS_ON
        val ids = fields.textsOrNull(name)?.distinct().orEmpty()
        for (dependency in ids) {
            if (!Validation.isJobId(dependency)) throw MalformedSubmission("$name: \"$dependency\" is not a job id")
            if (dependency == id) throw MalformedSubmission("$name: a job can't wait for itself")
        }
        return ids.ifEmpty { null }
    }

    companion object {
        /** Reads [body] as far as the job's id. Throws [MalformedSubmission] where it is no object with one. */
        fun read(body: String): SubmittedJob {
            if (nestingOf(body) > ApiTuning.SUBMISSION_DEPTH) throw MalformedSubmission("too deep")
            val json = objectOf(body)
            val id =
                (json[SubmissionField.ID] as? JsonPrimitive)?.takeIf { it.isString }?.content
                    ?: throw MalformedSubmission("${SubmissionField.ID}: missing")
            if (!Validation.isJobId(id)) throw MalformedSubmission("${SubmissionField.ID}: not a job id")
            return SubmittedJob(id, TypedFields(json))
        }

        private fun objectOf(body: String): JsonObject =
            try {
                WireJson.parseToJsonElement(body) as? JsonObject ?: throw MalformedSubmission("not an object")
            } catch (_: SerializationException) {
                throw MalformedSubmission("not JSON")
            }

        /** How deep brackets outside strings nest in [body], which need not be JSON. */
        private fun nestingOf(body: String): Int {
            var depth = 0
            var deepest = 0
            var inString = false
            var index = 0
            while (index < body.length) {
                when (body[index]) {
                    '"' -> inString = !inString
                    '\\' -> if (inString) index++
                    '[', '{' -> if (!inString) deepest = maxOf(deepest, ++depth)
                    ']', '}' -> if (!inString) depth--
                }
                index++
            }
            return deepest
        }
    }
}
