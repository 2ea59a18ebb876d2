package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A task attempt on a machine, as the worker reports it. */
@Serializable
data class TaskReport(
    /** The job's id and the task's index, such as `job-000412/3`. */
    @SerialName("portion") val taskId: String,
    /** The attempt's number. */
    @SerialName("try") val attempt: Long,
    /** The attempt's state on its machine. */
    @SerialName("status") val state: TaskState,
    /** Why the attempt ended; null before its end. */
    val cause: ExitCause? = null,
    /** Whether a checkpoint was saved when the attempt was stopped. */
    val saved: Boolean = false,
)

/** The state of a task attempt on its machine. */
@Serializable(with = TaskState.Serializer::class)
enum class TaskState(
    override val text: String,
) : WireEnum {
    /** Waits for the image. */
    FETCHING("fetching"),

    /** Has the image and runs. */
    RUNNING("running"),

    /** Has received a stop command and is saving a checkpoint. */
    SAVING("saving"),

    /** Has ended or was never started; reported until it is cleared. */
    EXITED("exited"),

    /** Any other state, from a newer version of the worker. */
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

    /** Failed on its own, usually because of a faulty machine or an error in the submission. */
    ERROR("error"),

    /** Start refused: the machine lacks free resources. */
    FULL("full"),

    /** Start refused: another attempt of the task is on this machine. */
    BUSY("busy"),

    /** Start refused: the worker does not recognize the task. */
    UNKNOWN_TASK("unknown"),

    /** Any other cause, from a newer version of the worker. */
    UNRECOGNIZED("?"),
    ;

    internal object Serializer : WireEnumSerializer<ExitCause>("ExitCause", entries, UNRECOGNIZED)
}

/**
 * The status of a machine: the body of its worker's heartbeats and of the replies to `/orders` and `/show`. Of two
 * messages, the one with the larger ([incarnation], [sequence]) is newer.
 */
@Serializable
data class Heartbeat(
    /** The machine's name. */
    @SerialName("stove") val machine: String,
    /** HOST:PORT at which the worker receives commands. */
    val endpoint: String,
    /** The machine type's name. */
    @SerialName("rack") val machineType: String,
    /** The zone's name. */
    @SerialName("hall") val zone: String,
    /** Whether it is a spot machine. */
    @SerialName("borrowed") val spot: Boolean = false,
    /** Starts at 1 and increases each time the worker's lease expires, when the worker discards its tasks. */
    @SerialName("shift") val incarnation: Long,
    /** Increases with every heartbeat and every reply of the worker. */
    @SerialName("ticket") val sequence: Long,
    /** The highest fencing token that the worker has seen. */
    @SerialName("baton") val token: Long = 0,
    /** Seconds until the cloud preempts the spot machine; null if there is no preemption notice. */
    @SerialName("recallS") val preemptionNoticeS: Double? = null,
    /** All task attempts on the machine, including exited ones until they are cleared. */
    @SerialName("portions") val tasks: List<TaskReport> = emptyList(),
)

/** A command to a worker about one task attempt. */
@Serializable
data class TaskCommand(
    /** What to do. */
    @SerialName("verb") val kind: CommandKind,
    /** The job's id and the task's index, such as `job-000412/3`. */
    @SerialName("portion") val taskId: String,
    /** The attempt's number. */
    @SerialName("try") val attempt: Long,
    /** For [CommandKind.STOP]: time to save a checkpoint before the attempt is ended (seconds). */
    @SerialName("cooldownS") val gracePeriodS: Double? = null,
)

/** The kind of a command to a worker. Commands may be repeated, but a start after a clear starts the attempt again. */
@Serializable(with = CommandKind.Serializer::class)
enum class CommandKind(
    override val text: String,
) : WireEnum {
    /** Starts the attempt unless the worker already has it in any state. */
    START("start"),

    /** Stops the attempt; if it is saving a checkpoint already, a grace period of 0 ends it. */
    STOP("halt"),

    /** Removes an exited attempt from the heartbeats. */
    CLEAR("clear"),
    ;

    internal object Serializer : WireEnumSerializer<CommandKind>("CommandKind", entries)
}

/**
 * The reply to a heartbeat. The worker ignores a reply with no token, or with a lower one than it has seen: its lease
 * is not renewed.
 */
@Serializable
data class HeartbeatReply(
    /** The leader's fencing token; null in a reply that must have no effect. */
    @SerialName("baton") val token: Long?,
    /** The commands, executed in this order. */
    @SerialName("orders") val commands: List<TaskCommand>,
)

/** Commands sent directly to a worker; executed only if [token] and [incarnation] are valid. */
@Serializable
data class CommandRequest(
    /** The leader's fencing token; must not be lower than the highest that the worker has seen. */
    @SerialName("baton") val token: Long,
    /** Must be the current incarnation of the worker. */
    @SerialName("shift") val incarnation: Long,
    /** The commands, executed in this order. */
    @SerialName("orders") val commands: List<TaskCommand>,
)

/** The reply of a controller that is not the leader, with the leader if it is known. */
@Serializable
data class Redirect(
    /** Name of the leader; null if it is unknown. */
    @SerialName("chef") val leader: String? = null,
)
