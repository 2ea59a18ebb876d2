package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One task attempt on a machine, as its worker reports it. */
@Serializable
data class TaskReport(
    /** Job and task, as `job-000412/3`. */
    @SerialName("portion") val taskId: String,
    /** The attempt's number. */
    @SerialName("try") val attempt: Long,
    /** The attempt's state on its machine. */
    @SerialName("status") val state: TaskState,
    /** Why it ended; null while it has not. */
    val cause: ExitCause? = null,
    /** Its progress was saved as it was stopped. */
    val saved: Boolean = false,
)

/** The state of a task attempt on its machine. */
@Serializable(with = TaskState.Serializer::class)
enum class TaskState(
    override val text: String,
) : WireEnum {
    /** Waits for its image. */
    FETCHING("fetching"),

    /** Has its image and runs. */
    RUNNING("running"),

    /** Has got a stop command and saves a checkpoint. */
    SAVING("saving"),

    /** Ended, or never started; reported until it is cleared. */
    EXITED("exited"),

    /** A state of a later version of the worker. */
    UNRECOGNIZED("?"),
    ;

    internal object Serializer : WireEnumSerializer<TaskState>("TaskState", entries, UNRECOGNIZED)
}

/** Why a task attempt ended. */
@Serializable(with = ExitCause.Serializer::class)
enum class ExitCause(
    override val text: String,
) : WireEnum {
    /** Completed; the result is kept. */
    DONE("done"),

    /** Stopped by a command. */
    STOPPED("halted"),

    /** Failed by itself: mostly the machine is faulty, or the job was submitted with a mistake. */
    ERROR("error"),

    /** Start refused: the machine has too little left. */
    FULL("full"),

    /** Start refused: another attempt of the task is on this machine. */
    BUSY("busy"),

    /** Start refused: the worker knows of no such task. */
    UNKNOWN_TASK("unknown"),

    /** A cause of a later version of the worker. */
    UNRECOGNIZED("?"),
    ;

    internal object Serializer : WireEnumSerializer<ExitCause>("ExitCause", entries, UNRECOGNIZED)
}

/**
 * A worker's heartbeat with its status, also the body of the answers of `/orders` and `/show`. Of two messages the one
 * with the larger ([incarnation], [sequence]) is the newer.
 */
@Serializable
data class Heartbeat(
    /** The machine's name. */
    @SerialName("stove") val machine: String,
    /** Host and port at which the worker takes commands. */
    val endpoint: String,
    /** The machine type's name. */
    @SerialName("rack") val machineType: String,
    /** The zone's name. */
    @SerialName("hall") val zone: String,
    /** It is a spot machine. */
    @SerialName("borrowed") val spot: Boolean = false,
    /** Starts at 1 and rises each time that the worker's lease expires and it forgets its tasks. */
    @SerialName("shift") val incarnation: Long,
    /** Rises with every heartbeat and every answer of the worker. */
    @SerialName("ticket") val sequence: Long,
    /** The highest fencing token that the worker has seen. */
    @SerialName("baton") val token: Long = 0,
    /** Seconds until the cloud takes a spot machine away; null without a notice. */
    @SerialName("recallS") val preemptionNoticeS: Double? = null,
    /** All task attempts on the machine, exited ones too until they are cleared. */
    @SerialName("portions") val tasks: List<TaskReport> = emptyList(),
)

/** A command to a worker about one task attempt. */
@Serializable
data class TaskCommand(
    /** What to do. */
    @SerialName("verb") val kind: CommandKind,
    /** Job and task, as `job-000412/3`. */
    @SerialName("portion") val taskId: String,
    /** The attempt's number. */
    @SerialName("try") val attempt: Long,
    /** Time to save before the task is ended (seconds), for [CommandKind.STOP]. */
    @SerialName("cooldownS") val gracePeriodS: Double? = null,
)

/** The kinds of commands to workers; each may be repeated, but a start after a clear starts once more. */
@Serializable(with = CommandKind.Serializer::class)
enum class CommandKind(
    override val text: String,
) : WireEnum {
    /** Starts the attempt unless the worker holds it already, in any state. */
    START("start"),

    /** Stops the attempt; one that is saving already is ended if the grace period is 0. */
    STOP("halt"),

    /** Removes an exited attempt from the heartbeats. */
    CLEAR("clear"),
    ;

    internal object Serializer : WireEnumSerializer<CommandKind>("CommandKind", entries)
}

/** The answer to a heartbeat; the worker drops one with a lower token than it has seen. */
@Serializable
data class HeartbeatReply(
    /** The leader's fencing token. */
    @SerialName("baton") val token: Long,
    /** Executed in their order. */
    @SerialName("orders") val commands: List<TaskCommand>,
)

/** Commands sent straight to a worker; executed only if token and incarnation match. */
@Serializable
data class CommandRequest(
    /** The leader's fencing token; must not be lower than the highest that the worker has seen. */
    @SerialName("baton") val token: Long,
    /** Must be the worker's own. */
    @SerialName("shift") val incarnation: Long,
    /** Executed in their order. */
    @SerialName("orders") val commands: List<TaskCommand>,
)

/** The answer of a controller that does not lead, with the one that does if it is known. */
@Serializable
data class Redirect(
    /** Name of the controller that leads; null: not known. */
    @SerialName("chef") val leader: String? = null,
)
