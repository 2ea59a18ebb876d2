package ledgearch.model

import ledgearch.wire.ExitCause

/**
 * One attempt to run a task on a machine, from the placement until the attempt is proven to be gone. Its machine and
 * its team count it by [state] and [stopMode]; a change of either updates those counts. Times are steady-clock ms.
 */
internal class TaskAttempt(
    /** Null if the job is not open; the attempt is then stopped and cleared. */
    val job: Job?,
    /** Id of the task as agents use it: the job's id and the task's index. */
    val taskId: String,
    /** Index of the task in its job, from 0. */
    val index: Int,
    val number: Long,
    val machine: Machine,
    val assignedAtMs: Long,
    /** Whether an earlier leader started the attempt, so that the start of its run is not known. */
    val isInherited: Boolean = false,
) {
    // --- State and stop mode ---------------------------------------------------------------------------------------

    /** Whether the attempt is among its machine's attempts and is counted there and for its team. */
    var isAttached = false

    var state = AttemptState.ASSIGNED
        set(value) {
            if (value != field) machine.updateCounts(this) { field = value }
        }

    /** Time at which the exit was learned of; 0 before. */
    var exitedAtMs = 0L

    /** Cause of the exit; null before the exit, or if the agent gave no cause. */
    var exitCause: ExitCause? = null

    var stopMode = StopMode.NONE
        set(value) {
            if (value != field) machine.updateCounts(this) { field = value }
        }

    /** 0 before the task runs. */
    var runningSinceMs = 0L

    /** Whether the attempt is not preempted for other jobs. Set for a job that had starved and would starve again. */
    var isExemptFromPreemption = false

    val isExited: Boolean get() = state == AttemptState.EXITED

    /** Whether the task is finished. */
    val isFinished: Boolean get() = isExited && exitCause == ExitCause.DONE

    /** Whether the attempt may be on its machine and is not to be stopped. */
    val continues: Boolean get() = !isExited && stopMode == StopMode.NONE

    /** Returns whether the task runs, and has done so for [ModelTuning.SOUND_RUN_MS]. */
    fun hasRunWell(nowMs: Long): Boolean =
        state == AttemptState.RUNNING && nowMs - runningSinceMs >= ModelTuning.SOUND_RUN_MS

    // --- Messages to and from the agent ---------------------------------------------------------------------------

    /** Whether the agent has listed the attempt. */
    var isReported = false

    /** Whether the agent has restarted and ended the attempt, which is removed once its start is fenced. */
    var isLost = false

    /** Whether a command to clear the attempt was sent. */
    var isClearSent = false

    /** Whether an agent that has kept its state lists the attempt. */
    val mustBeListed: Boolean get() = isReported && !isLost && !isClearSent

    /** Records that the agent has restarted without its state: it executes no reply to an earlier heartbeat. */
    fun recordAgentRestart() {
        isLost = isReported
        lastListedSequence = 0L
        startHeartbeatSequence = 0L
    }

    /** Sequence number of the agent's last message that listed the attempt. */
    var lastListedSequence = 0L

    /**
     * Sequence number of the last heartbeat whose reply carried the start command. A later heartbeat proves that the
     * agent has received that reply or never will.
     */
    var startHeartbeatSequence = 0L

    /**
     * Token of the last direct command that carried the start, or 0. Whether answered or not, that command may be
     * executed late or once more until the agent has seen a higher token or has begun a new incarnation.
     */
    var directStartToken = 0L

    /** Whether the agent may remove the attempt from its list without loss of information. */
    val isClearable: Boolean get() =
        isExited && (!isFinished || job == null || job.isClosed || job.recordedTasks.get(index))

    /** Whether the agent refuses all direct commands that carried the start. */
    val isDirectStartFenced: Boolean get() = directStartToken == 0L || directStartToken < machine.numbers.token

    /**
     * Whether the agent can execute no start of this attempt any more. Until then a `clear` command could let the
     * attempt start a second time.
     */
    val isStartFenced: Boolean get() =
        isDirectStartFenced && machine.numbers.heartbeatSequence > startHeartbeatSequence
}
