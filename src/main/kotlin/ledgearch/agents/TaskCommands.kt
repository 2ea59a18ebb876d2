package ledgearch.agents

import ledgearch.model.AttemptState
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.wire.CommandKind
import ledgearch.wire.TaskCommand

/** Derives the commands that bring an agent's tasks to the state that the leader has decided on. */
internal object TaskCommands {
    private const val NO_GRACE_S = 0.0

    /**
     * Returns the commands that the agent of [machine] has yet to carry out, stops first, as many as fit in a message.
     * There are none until the agent has confirmed the leader's token and the machine's record is durable. Commands are
     * idempotent and repeated until the agent's list of tasks shows their effect.
     */
    fun pending(machine: Machine): List<TaskCommand> {
        if (!machine.isDurable || !machine.isConfirmed) return emptyList()
        val stops = ArrayList<TaskCommand>()
        val starts = ArrayList<TaskCommand>()
        for (attempt in machine.attempts.values) {
            when {
                attempt.isExited -> if (mayClear(attempt)) stops.add(command(CommandKind.CLEAR, attempt))
                attempt.stopMode != StopMode.NONE -> stopCommand(attempt)?.let { stops.add(it) }
                !attempt.isReported -> starts.add(command(CommandKind.START, attempt))
            }
        }
        // The rest goes with the next message.
        return (stops + starts).take(AgentTuning.MAX_COMMANDS_PER_MESSAGE)
    }

    private fun command(
        kind: CommandKind,
        attempt: TaskAttempt,
    ) = TaskCommand(kind, attempt.taskId, attempt.number)

    private fun mayClear(attempt: TaskAttempt) =
        attempt.isClearable && attempt.hasNoPendingStart(attempt.machine.heartbeatSequence)

    /** Returns the stop command for [attempt], or null while it saves the checkpoint that an earlier stop asked for. */
    private fun stopCommand(attempt: TaskAttempt): TaskCommand? {
        val graceS =
            if (attempt.stopMode == StopMode.CHECKPOINT_FIRST) {
                attempt.job?.spec?.checkpointSaveS ?: NO_GRACE_S
            } else {
                NO_GRACE_S
            }
        if (attempt.state == AttemptState.SAVING && graceS != NO_GRACE_S) return null
        return TaskCommand(CommandKind.STOP, attempt.taskId, attempt.number, graceS)
    }
}
