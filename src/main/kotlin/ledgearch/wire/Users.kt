package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a user submits: one job of [taskCount] equal tasks. */
@Serializable
data class JobSpec(
    /** Unique id, chosen by the user, as `job-000412`. */
    @SerialName("ref") val id: String,
    /** The class of jobs that it belongs to: jobs of one class have similar run times and the same objectives. */
    @SerialName("menu") val jobClass: String,
    /** Name of the team whose guarantee and limit apply. */
    @SerialName("crew") val team: String,
    /** How its tasks run. */
    @SerialName("shape") val kind: JobKind,
    /** Which other work it may preempt, and be preempted by. */
    @SerialName("urgency") val priority: Priority,
    /** Number of tasks, 1 to 100,000; they are numbered from 0. */
    @SerialName("portions") val taskCount: Int,
    /** Virtual processors that each task takes. */
    val vcpus: Double,
    /** Accelerators that each task takes. */
    val accelerators: Double = 0.0,
    /** Memory that each task takes (GB). */
    val memoryGb: Double,
    /** Names of the machine types that are allowed; null: any. */
    @SerialName("racks") val machineTypes: List<String>? = null,
    /** The only zone that is allowed; null: any. */
    @SerialName("hall") val zone: String? = null,
    /** All tasks must be in the same zone. */
    @SerialName("samePlace") val singleZone: Boolean = false,
    /** At most half of the tasks, rounded up, may be in one zone. */
    @SerialName("apart") val spreadZones: Boolean = false,
    /** Its tasks may run on spot machines. */
    @SerialName("borrowed") val allowsSpot: Boolean = false,
    /** Name of the container image that a machine must have before a task can start. */
    @SerialName("recipe") val image: String,
    /** Size of the image (GB). */
    @SerialName("sizeGb") val imageGb: Double,
    /** The user's estimate of a task's run time without the image fetch (seconds); 0 for services. */
    @SerialName("cookS") val estimatedRunS: Double,
    /** Progress between two checkpoints (seconds); 0: the task can't save one. */
    @SerialName("stirS") val checkpointIntervalS: Double = 0.0,
    /** Time that a task takes to save a checkpoint when it is stopped (seconds). */
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
    /** Preempts work of every other priority. */
    PRODUCTION("prod"),

    /** Next after [PRODUCTION]. */
    URGENT("urgent"),

    /** Next after [URGENT]. */
    NORMAL("normal"),

    /** Preempted by work of every other priority. */
    BEST_EFFORT("best_effort"),
    ;

    internal object Serializer : WireEnumSerializer<Priority>("Priority", entries)
}

/** The state of a job as reported to its user; the last two are final. */
@Serializable(with = JobState.Serializer::class)
enum class JobState(
    override val text: String,
) : WireEnum {
    /** Accepted, and no task runs. */
    PENDING("pending"),

    /** At least one task runs. */
    RUNNING("running"),

    /** All tasks of a job array are done. */
    DONE("done"),

    /** Cancelled by its user, or through a dependency that was cancelled. */
    CANCELLED("withdrawn"),
    ;

    internal object Serializer : WireEnumSerializer<JobState>("JobState", entries)
}

/** The state and the progress of a job as reported to its user. */
@Serializable
data class JobStatus(
    /** The job's id. */
    @SerialName("ref") val id: String,
    /** The state; once final it never changes. */
    @SerialName("status") val state: JobState,
    /** Tasks that are done, for display; null where they are not known. */
    val done: Int? = null,
    /** Tasks that run, for display; null where they are not known. */
    val running: Int? = null,
)

/** Why a request was refused. */
@Serializable
data class ErrorBody(
    /** The reason, for people. */
    val error: String,
)
