package ledgearch.agents

import ledgearch.model.AttemptState
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.wire.CommandKind
import ledgearch.wire.TaskCommand

/** The commands by which an agent's tasks become what the leader has decided. */
internal object TaskCommands {
    private const val NO_GRACE_S = 0.0

    /**
     * All commands that the agent of [machine] has yet to carry out, stops first; none before it has confirmed the
     * leader's token and its record is durable. Each may be repeated without harm until the agent's list of tasks shows
     * it.
     */
    fun pending(machine: Machine): List<TaskCommand> {
        if (!machine.durable || !machine.confirmed) return emptyList()
        val stops = ArrayList<TaskCommand>()
        val starts = ArrayList<TaskCommand>()
        for (attempt in machine.attempts.values) {
            when {
                attempt.exited -> if (isClearable(attempt)) stops.add(command(CommandKind.CLEAR, attempt))
                attempt.stop != StopMode.NONE -> stopCommand(attempt)?.let { stops.add(it) }
                !attempt.reported -> starts.add(command(CommandKind.START, attempt))
            }
        }
        // A message has a size that it may not pass; what is left over goes with the next one.
        return (stops + starts).take(AgentTuning.COMMANDS_AT_ONCE)
    }

    private fun command(
        kind: CommandKind,
        attempt: TaskAttempt,
    ) = TaskCommand(kind, attempt.taskId, attempt.number)

    private fun isClearable(attempt: TaskAttempt) =
        attempt.clearable && attempt.settled(attempt.machine.heartbeatSequence)

    /** Null while the task makes the checkpoint that it was told to make. */
    private fun stopCommand(attempt: TaskAttempt): TaskCommand? {
        val graceS =
            if (attempt.stop == StopMode.CHECKPOINT_FIRST) attempt.job?.spec?.checkpointS ?: NO_GRACE_S else NO_GRACE_S
        if (attempt.state == AttemptState.SAVING && graceS != NO_GRACE_S) return null
        return TaskCommand(CommandKind.STOP, attempt.taskId, attempt.number, graceS)
    }
}
