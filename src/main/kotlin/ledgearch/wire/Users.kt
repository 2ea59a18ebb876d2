package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The specification of a job of [taskCount] equal tasks, as its user submits it. */
@Serializable
data class JobSpec(
    /** Unique id that the user chooses, such as `job-000412`. */
    @SerialName("ref") val id: String,
    /** The job class; jobs of one class have similar run times and the same service-level objectives. */
    @SerialName("menu") val jobClass: String,
    /** Name of the team whose guaranteed share and limit apply. */
    @SerialName("crew") val team: String,
    /** How the tasks run. */
    @SerialName("shape") val kind: JobKind,
    /** Determines which other jobs it may preempt and which may preempt it. */
    @SerialName("urgency") val priority: Priority,
    /** Number of tasks, from 1 to 100,000; tasks are numbered from 0. */
    @SerialName("portions") val taskCount: Int,
    /** Virtual processors that each task needs. */
    val vcpus: Double,
    /** Accelerators that each task needs. */
    val accelerators: Double = 0.0,
    /** Memory that each task needs (GB). */
    val memoryGb: Double,
    /** Names of the allowed machine types; null if all are allowed. */
    @SerialName("racks") val machineTypes: List<String>? = null,
    /** The only allowed zone; null if all are allowed. */
    @SerialName("hall") val zone: String? = null,
    /** Whether all tasks must be in the same zone. */
    @SerialName("samePlace") val singleZone: Boolean = false,
    /** Whether at most half of the tasks, rounded up, may be in one zone. */
    @SerialName("apart") val spreadZones: Boolean = false,
    /** Whether the tasks may run on spot machines. */
    @SerialName("borrowed") val allowsSpot: Boolean = false,
    /** Name of the container image, which a machine must have before a task can run. */
    @SerialName("recipe") val image: String,
    /** Size of the image (GB). */
    @SerialName("sizeGb") val imageGb: Double,
    /** The user's estimate of a task's run time without the image fetch (seconds); 0 for services. */
    @SerialName("cookS") val estimatedRunTimeS: Double,
    /** Run time between two checkpoints (seconds); 0 if the tasks can't save checkpoints. */
    @SerialName("stirS") val checkpointIntervalS: Double = 0.0,
    /** Time that a task needs to save a checkpoint when it is stopped (seconds). */
    @SerialName("plateS") val checkpointSaveS: Double = 0.0,
    /** Time from the submission within which the job should be done (seconds); null if there is no deadline. */
    @SerialName("serveS") val deadlineS: Double? = null,
    /** Ids of the jobs that must be done before any task of this one may start. */
    @SerialName("awaits") val dependsOn: List<String>? = null,
)

/** How the tasks of a job run. */
@Serializable(with = JobKind.Serializer::class)
enum class JobKind(
    override val text: String,
) : WireEnum {
    /** Independent tasks that each run to completion. */
    ARRAY("sweep"),

    /** Replicas that run until the job is cancelled. */
    SERVICE("standing"),
    ;

    internal object Serializer : WireEnumSerializer<JobKind>("JobKind", entries)
}

/** The priority of a job, from the most to the least urgent. */
@Serializable(with = Priority.Serializer::class)
enum class Priority(
    override val text: String,
) : WireEnum {
    /** May preempt jobs of every other priority. */
    PRODUCTION("prod"),

    /** Second to [PRODUCTION]. */
    URGENT("urgent"),

    /** Second to [URGENT]. */
    NORMAL("normal"),

    /** May be preempted by jobs of every other priority. */
    BEST_EFFORT("best_effort"),
    ;

    internal object Serializer : WireEnumSerializer<Priority>("Priority", entries)
}

/** The state of a job in responses to its user; [DONE] and [CANCELLED] are final. */
@Serializable(with = JobState.Serializer::class)
enum class JobState(
    override val text: String,
) : WireEnum {
    /** Accepted; no task is running. */
    PENDING("pending"),

    /** At least one task is running. */
    RUNNING("running"),

    /** All tasks of a job array are done. */
    DONE("done"),

    /** Cancelled by its user or because a dependency was cancelled. */
    CANCELLED("withdrawn"),
    ;

    internal object Serializer : WireEnumSerializer<JobState>("JobState", entries)
}

/** The state and the progress of a job in responses to its user. */
@Serializable
data class JobStatus(
    /** The job's id. */
    @SerialName("ref") val id: String,
    /** The state; a final state never changes. */
    @SerialName("status") val state: JobState,
    /** Number of finished tasks, for display only; null if unknown. */
    val done: Int? = null,
    /** Number of running tasks, for display only; null if unknown. */
    val running: Int? = null,
)

/** The body of a response with an error status. */
@Serializable
data class ErrorBody(
    /** The reason in words. */
    val error: String,
)
