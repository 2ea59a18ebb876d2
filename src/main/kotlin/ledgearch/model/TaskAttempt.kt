package ledgearch.model

import ledgearch.wire.ExitCause

/**
 * The state of an attempt as the leader knows it. The order is part of the decision stream between controllers and never
 * changes.
 */
internal enum class AttemptState { ASSIGNED, FETCHING, RUNNING, SAVING, EXITED }

/** Grace that a stopped task gets. */
internal enum class StopMode { NONE, AT_ONCE, CHECKPOINT_FIRST }

/**
 * One attempt of one task on one machine, from the decision until the attempt is provably gone.
 * [job] is null for an attempt whose job is not open: it is stopped and cleared.
 */
internal class TaskAttempt(
    val job: Job?,
    val taskId: String,
    val index: Int,
    val number: Long,
    val machine: Machine,
    val assignedAt: Long,
    /** Started by an earlier leader: when its run began is not known. */
    val inherited: Boolean = false,
) {
    /** It is among its machine's attempts, and counted there and for its team. */
    var attached = false
    var state = AttemptState.ASSIGNED
        set(value) {
            if (value != field) machine.updateCounted(this) { field = value }
        }
    var cause: ExitCause? = null
    var stop = StopMode.NONE
        set(value) {
            if (value != field) machine.updateCounted(this) { field = value }
        }

    /** Its job had starved: it is not stopped for others, for which the job would only starve again. */
    var exemptFromPreemption = false

    /** The worker has listed it. */
    var reported = false

    /** Sequence number of the last message of the worker that listed it. */
    var listedAt = 0L
    var runningSince = 0L

    /** Sequence number of the last report whose answer carried the start; any later report settles that answer. */
    var sentInReplyTo = 0L

    /** A direct command with the start is under way. */
    var startInFlight = false

    /**
     * Token of a direct command with the start that was never answered. It may be executed at any later time
     * until the worker is known to have seen a higher token or has begun a new session.
     */
    var unacknowledgedToken = 0L

    val exited: Boolean get() = state == AttemptState.EXITED
    val done: Boolean get() = exited && cause == ExitCause.DONE

    /** It may be on its machine and has not been told to stop. */
    val continues: Boolean get() = !exited && stop == StopMode.NONE

    /** Nothing is lost when the worker forgets it. */
    val clearable: Boolean get() = exited && (!done || job == null || job.closed || job.recorded.get(index))

    /** No start of this attempt is still on its way. Until then `clear` could let it start a second time. */
    fun settled(lastReportSequence: Long): Boolean =
        !startInFlight && unacknowledgedToken == 0L && lastReportSequence > sentInReplyTo
}
