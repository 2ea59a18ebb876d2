package ledgearch.api

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import ledgearch.wire.JobKind
import ledgearch.wire.JobSpec
import ledgearch.wire.Priority
import ledgearch.wire.WireJson

/** The parsed body of a submission: a JSON object with a valid job [id], whose other [fields] are not checked yet. */
internal class SubmittedJob private constructor(
    val id: String,
    private val fields: TypedFields,
) {
    /**
     * Returns the job's specification. Throws [MalformedSubmissionException] for the first field that is missing or
     * invalid; only fields that may be null may be missing. Fields are read one by one so that the error names it.
     */
    fun toJobSpec(): JobSpec {
        val spec =
            JobSpec(
                id = id,
                jobClass = fields.string(SubmissionField.JOB_CLASS),
                team = fields.string(SubmissionField.TEAM),
                kind = fields.enumValue(SubmissionField.KIND, JobKind.Serializer),
                priority = fields.enumValue(SubmissionField.PRIORITY, Priority.Serializer),
                taskCount = fields.int(SubmissionField.TASK_COUNT, 1, ApiTuning.MAX_TASKS_PER_JOB),
                vcpus = fields.nonNegativeNumber(SubmissionField.VCPUS),
                accelerators = fields.nonNegativeNumber(SubmissionField.ACCELERATORS),
                memoryGb = fields.nonNegativeNumber(SubmissionField.MEMORY_GB),
                machineTypes = fields.stringsOrNull(SubmissionField.MACHINE_TYPES),
                zone = fields.stringOrNull(SubmissionField.ZONE),
                singleZone = fields.boolean(SubmissionField.SINGLE_ZONE),
                spreadZones = fields.boolean(SubmissionField.SPREAD_ZONES),
                allowsSpot = fields.boolean(SubmissionField.ALLOWS_SPOT),
                image = fields.string(SubmissionField.IMAGE),
                imageGb = fields.nonNegativeNumber(SubmissionField.IMAGE_GB),
                estimatedRunTimeS = fields.nonNegativeNumber(SubmissionField.ESTIMATED_RUN_TIME_S),
                checkpointIntervalS = fields.nonNegativeNumber(SubmissionField.CHECKPOINT_INTERVAL_S),
                checkpointSaveS = fields.nonNegativeNumber(SubmissionField.CHECKPOINT_SAVE_S),
                deadlineS = fields.nonNegativeNumberOrNull(SubmissionField.DEADLINE_S),
                dependsOn = dependenciesOrNull(),
            )
        if (spec.vcpus <= 0 && spec.accelerators <= 0 && spec.memoryGb <= 0) {
            throw MalformedSubmissionException(
                "${SubmissionField.VCPUS}: must be above 0 if the task needs no other resource",
            )
        }
        return spec
    }

    /** Returns the distinct ids of the dependencies; null if there are none. */
    private fun dependenciesOrNull(): List<String>? {
        val name = SubmissionField.DEPENDS_ON
        val ids = fields.stringsOrNull(name)?.distinct().orEmpty()
        for (dependency in ids) {
            if (!Validation.isJobId(dependency)) {
                throw MalformedSubmissionException("$name: \"$dependency\" is not a job id")
            }
            if (dependency == id) throw MalformedSubmissionException("$name: a job can't depend on itself")
        }
        return ids.ifEmpty { null }
    }

    companion object {
        /** Parses [body]. Throws [MalformedSubmissionException] if it is not a JSON object with a valid job id. */
        fun parse(body: String): SubmittedJob {
            if (nestingDepth(body) > ApiTuning.MAX_SUBMISSION_DEPTH) {
                throw MalformedSubmissionException(
                    "the body is nested more than ${ApiTuning.MAX_SUBMISSION_DEPTH} levels deep",
                )
            }
            val json = parseObject(body)
            val id =
                (json[SubmissionField.ID] as? JsonPrimitive)?.takeIf { it.isString }?.content
                    ?: throw MalformedSubmissionException("${SubmissionField.ID}: missing")
            if (!Validation.isJobId(id)) {
                throw MalformedSubmissionException("${SubmissionField.ID}: must be job- followed by 1 to 18 digits")
            }
            return SubmittedJob(id, TypedFields(json))
        }

        private fun parseObject(body: String): JsonObject =
            try {
                WireJson.parseToJsonElement(body) as? JsonObject
                    ?: throw MalformedSubmissionException("the body is not a JSON object")
            } catch (_: SerializationException) {
                throw MalformedSubmissionException("the body is not valid JSON")
            }

        /** Returns how deep brackets outside strings are nested in [body], which may be invalid JSON. */
        private fun nestingDepth(body: String): Int {
            var depth = 0
            var maxDepth = 0
            var inString = false
            var index = 0
            while (index < body.length) {
                when (body[index]) {
                    '"' -> inString = !inString
                    '\\' -> if (inString) index++
                    '[', '{' -> if (!inString) maxDepth = maxOf(maxDepth, ++depth)
                    ']', '}' -> if (!inString) depth--
                }
                index++
            }
            return maxDepth
        }
    }
}
