package ledgearch.agents

import ledgearch.model.AttemptState
import ledgearch.model.Machine
import ledgearch.model.StopMode
import ledgearch.model.TaskAttempt
import ledgearch.wire.CommandKind
import ledgearch.wire.TaskCommand

/** The commands that an agent has yet to carry out. */
internal class PendingCommands(
    /** Stops and clears first, then starts; as many as fit in a message. */
    val commands: List<TaskCommand>,
    /** Number of attempts that have ended, or are to, and stay since the agent could still execute a start of them. */
    val unfencedCount: Int,
    /** Highest token under which a direct command carried such a start, or 0. A higher token fences all of them. */
    val newestStartToken: Long,
) {
    companion object {
        /** There are no commands. */
        val NONE = PendingCommands(emptyList(), unfencedCount = 0, newestStartToken = 0L)
    }
}

/** Derives the commands that bring an agent's tasks to the state that the leader has decided on. */
internal object TaskCommands {
    private const val NO_GRACE_S = 0.0

    /**
     * Returns the commands that the agent of [machine] has yet to carry out. There are none until the agent has
     * confirmed the leader's token and the machine's record is durable. Commands are idempotent and repeated until the
     * agent's list of tasks shows their effect. While a restart of the agent is pending there are only stops.
     */
    fun pending(machine: Machine): PendingCommands {
        if (!machine.isDurable || !machine.isConfirmed) return PendingCommands.NONE
        if (machine.numbers.isRestartPending) return pendingStops(machine)
        val collector = Collector()
        machine.attempts.values.forEach(collector::add)
        return collector.collected()
    }

    /** Collects what has to be done about the attempts of a machine. */
    private class Collector {
        private val stops = ArrayList<TaskCommand>()
        private val starts = ArrayList<TaskCommand>()
        private val unfenced = ArrayList<TaskAttempt>()

        /** Adds the command for [attempt]; an attempt that was lost in a restart needs none. */
        fun add(attempt: TaskAttempt) {
            when {
                attempt.isLost -> Unit
                attempt.isClearable -> addClear(attempt)
                attempt.isExited -> Unit
                attempt.stopMode != StopMode.NONE -> addStop(attempt)
                !attempt.isReported -> starts.add(command(CommandKind.START, attempt))
            }
        }

        private fun addClear(attempt: TaskAttempt) {
            if (attempt.isStartFenced) stops.add(command(CommandKind.CLEAR, attempt)) else unfenced.add(attempt)
        }

        private fun addStop(attempt: TaskAttempt) {
            stopCommand(attempt)?.let { stops.add(it) }
            if (!attempt.isReported && !attempt.isStartFenced) unfenced.add(attempt)
        }

        /** Returns the commands for one message; the rest goes with the next. */
        fun collected(): PendingCommands {
            val commands = (stops + starts).take(AgentTuning.MAX_COMMANDS_PER_MESSAGE)
            return PendingCommands(commands, unfenced.size, unfenced.maxOfOrNull { it.directStartToken } ?: 0L)
        }
    }

    private fun pendingStops(machine: Machine): PendingCommands {
        val stopped = machine.attempts.values.filter { it.stopMode != StopMode.NONE && !it.isExited && !it.isLost }
        val commands = stopped.mapNotNull(::stopCommand).take(AgentTuning.MAX_COMMANDS_PER_MESSAGE)
        return PendingCommands(commands, unfencedCount = 0, newestStartToken = 0L)
    }

    private fun command(
        kind: CommandKind,
        attempt: TaskAttempt,
    ) = TaskCommand(kind, attempt.taskId, attempt.number)

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
