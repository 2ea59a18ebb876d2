package ledgearch.model

import ledgearch.wire.ExitCause

/**
 * One attempt of one task on one machine, from the decision until the attempt is provably gone. Its state and stop mode
 * are counted on its machine and for its team, and each change of them updates those counts.
 */
internal class TaskAttempt(
    /** Null if the job is not open: the attempt is stopped and cleared. */
    val job: Job?,
    /** The job's id and the task's index, as workers know it. */
    val taskId: String,
    /** Of the task in its job, from 0. */
    val index: Int,
    /** Of the attempt. */
    val number: Long,
    val machine: Machine,
    /** Steady ms of the decision. */
    val assignedAt: Long,
    /** Started by an earlier leader: when its run began is not known. */
    val inherited: Boolean = false,
) {
    // --- What it does -----------------------------------------------------------------------------------------

    /** It is among its machine's attempts, and counted there and for its team. */
    var attached = false

    /** What is known of it; a change updates what the attempt counts for. */
    var state = AttemptState.ASSIGNED
        set(value) {
            if (value != field) machine.updateCounted(this) { field = value }
        }

    /** Why it exited; null before, or if the worker gave no cause. */
    var cause: ExitCause? = null

    /** What the worker is to be told; a change updates what the attempt counts for. */
    var stop = StopMode.NONE
        set(value) {
            if (value != field) machine.updateCounted(this) { field = value }
        }

    /** Steady ms at which it began to run; 0 before. */
    var runningSince = 0L

    /** Its job had starved: it is not preempted for others, for which the job would only starve again. */
    var exemptFromPreemption = false

    /** It runs no more. */
    val exited: Boolean get() = state == AttemptState.EXITED

    /** The task is finished. */
    val done: Boolean get() = exited && cause == ExitCause.DONE

    /** It may be on its machine and has not been told to stop. */
    val continues: Boolean get() = !exited && stop == StopMode.NONE

    // --- What the worker has been told and has reported -------------------------------------------------------

    /** The worker has listed it. */
    var reported = false

    /** Sequence number of the last message of the worker that listed it. */
    var lastListedSequence = 0L

    /** Sequence number of the last heartbeat whose answer carried the start; any later one settles that answer. */
    var sentInReplyTo = 0L

    /** A direct command with the start is under way. */
    var startInFlight = false

    /**
     * Token of a direct command with the start that was never answered. It may be executed at any later time
     * until the worker is known to have seen a higher token or has begun a new incarnation.
     */
    var unacknowledgedToken = 0L

    /** Nothing is lost when the worker forgets it. */
    val clearable: Boolean get() = exited && (!done || job == null || job.closed || job.recorded.get(index))

    /**
     * No start of this attempt is still on its way, given the sequence number of the worker's last heartbeat. Until
     * then `clear` could let it start a second time.
     */
    fun settled(lastReportSequence: Long): Boolean =
        !startInFlight && unacknowledgedToken == 0L && lastReportSequence > sentInReplyTo
}
