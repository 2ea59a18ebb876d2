package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a user submits: one job of [taskCount] equal tasks. */
@Serializable
data class JobSpec(
    @SerialName("ref") val id: String,
    @SerialName("menu") val jobClass: String,
    @SerialName("crew") val team: String,
    @SerialName("shape") val kind: JobKind,
    @SerialName("urgency") val priority: Priority,
    @SerialName("portions") val taskCount: Int,
    val vcpus: Double,
    val accelerators: Double = 0.0,
    val memoryGb: Double,
    /** Names of the machine types that are allowed; null: any. */
    @SerialName("racks") val machineTypes: List<String>? = null,
    /** The only zone that is allowed; null: any. */
    @SerialName("hall") val zone: String? = null,
    /** All tasks must be in the same zone. */
    @SerialName("samePlace") val singleZone: Boolean = false,
    /** At most half of the tasks, rounded up, may be in one zone. */
    @SerialName("apart") val spreadZones: Boolean = false,
    @SerialName("borrowed") val allowsSpot: Boolean = false,
    @SerialName("recipe") val image: String,
    @SerialName("sizeGb") val imageGb: Double,
    /** The owner's estimate of a task's run time (seconds); 0 for services. */
    @SerialName("cookS") val estimatedRunS: Double,
    /** Progress between two checkpoints (seconds); 0: the task can't save. */
    @SerialName("stirS") val checkpointIntervalS: Double = 0.0,
    /** Time that a task takes to save when it is stopped (seconds). */
    @SerialName("plateS") val checkpointS: Double = 0.0,
    /** When the job is to be complete, from its submission on (seconds); null: no deadline. */
    @SerialName("serveS") val deadlineS: Double? = null,
    /** Ids of the jobs that must be done before any task of this one may start. */
    @SerialName("awaits") val dependsOn: List<String>? = null,
)

/** How the tasks of a job run. */
@Serializable(with = JobKind.Serializer::class)
enum class JobKind(
    override val text: String,
) : WireEnum {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("sweep"),

    /** Replicas that run until the job is cancelled. */
    SERVICE("standing"),
    ;

    internal object Serializer : WireEnumSerializer<JobKind>("JobKind", entries)
}

/** The priorities of jobs, from the most urgent to the least. */
@Serializable(with = Priority.Serializer::class)
enum class Priority(
    override val text: String,
) : WireEnum {
    PRODUCTION("prod"),
    URGENT("urgent"),
    NORMAL("normal"),
    BEST_EFFORT("best_effort"),
    ;

    internal object Serializer : WireEnumSerializer<Priority>("Priority", entries)
}

/** The state of a job as its user is told; the last two are final. */
@Serializable(with = JobState.Serializer::class)
enum class JobState(
    override val text: String,
) : WireEnum {
    PENDING("pending"),
    RUNNING("running"),
    DONE("done"),
    CANCELLED("withdrawn"),
    ;

    internal object Serializer : WireEnumSerializer<JobState>("JobState", entries)
}

/** The state and the progress of a job as told to its user. */
@Serializable
data class JobStatus(
    @SerialName("ref") val id: String,
    @SerialName("status") val state: JobState,
    val done: Int? = null,
    val running: Int? = null,
)

/** Why a request was refused. */
@Serializable
data class ErrorBody(
    val error: String,
)
