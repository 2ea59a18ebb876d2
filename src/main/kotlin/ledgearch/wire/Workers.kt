package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One task attempt on a machine, as its worker reports it. */
@Serializable
data class TaskReport(
    @SerialName("portion") val taskId: String,
    @SerialName("try") val attempt: Long,
    @SerialName("status") val state: TaskState,
    /** Why it ended; null while it has not. */
    val cause: ExitCause? = null,
    val saved: Boolean = false,
)

/** The state of a task attempt on its machine. */
@Serializable(with = TaskState.Serializer::class)
enum class TaskState(
    override val text: String,
) : WireEnum {
    /** Waits for its image. */
    FETCHING("fetching"),
    RUNNING("running"),

    /** Was told to stop and writes a checkpoint. */
    SAVING("saving"),
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
    DONE("done"),

    /** Stopped by a command. */
    STOPPED("halted"),
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
    @SerialName("stove") val machine: String,
    val endpoint: String,
    @SerialName("rack") val machineType: String,
    @SerialName("hall") val zone: String,
    @SerialName("borrowed") val spot: Boolean = false,
    /** Starts at 1 and rises each time that the worker's lease expires and it forgets its tasks. */
    @SerialName("shift") val incarnation: Long,
    @SerialName("ticket") val sequence: Long,
    /** The highest fencing token that the worker has seen. */
    @SerialName("baton") val token: Long = 0,
    /** Seconds until the cloud takes a spot machine away; null without a notice. */
    @SerialName("recallS") val preemptionNoticeS: Double? = null,
    @SerialName("portions") val tasks: List<TaskReport> = emptyList(),
)

/** What a worker is told to do with a task attempt. */
@Serializable
data class TaskCommand(
    @SerialName("verb") val kind: CommandKind,
    @SerialName("portion") val taskId: String,
    @SerialName("try") val attempt: Long,
    /** Time to save before the task is ended (seconds), for [CommandKind.STOP]. */
    @SerialName("cooldownS") val gracePeriodS: Double? = null,
)

/** The kinds of commands to workers; each may be repeated, but a start after a clear starts once more. */
@Serializable(with = CommandKind.Serializer::class)
enum class CommandKind(
    override val text: String,
) : WireEnum {
    START("start"),
    STOP("halt"),

    /** Removes an exited attempt from the heartbeats. */
    CLEAR("clear"),
    ;

    internal object Serializer : WireEnumSerializer<CommandKind>("CommandKind", entries)
}

/** The answer to a heartbeat; the worker drops one with a lower token than it has seen. */
@Serializable
data class HeartbeatReply(
    @SerialName("baton") val token: Long,
    @SerialName("orders") val commands: List<TaskCommand>,
)

/** Commands sent straight to a worker; executed only if token and incarnation match. */
@Serializable
data class CommandRequest(
    @SerialName("baton") val token: Long,
    @SerialName("shift") val incarnation: Long,
    @SerialName("orders") val commands: List<TaskCommand>,
)

/** The answer of a controller that does not lead, with the one that does if it is known. */
@Serializable
data class Redirect(
    @SerialName("chef") val leader: String? = null,
)
