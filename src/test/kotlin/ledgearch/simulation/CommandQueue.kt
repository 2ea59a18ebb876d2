package ledgearch.simulation

import ledgearch.cli.DaemonTuning
import ledgearch.control.OwnerCommand

/**
 * Executes the commands of a simulated process: normally at once, when the process resumes while it is frozen, in
 * successive batches while it is slow, and after a delay while batches are delayed.
 */
internal class CommandQueue(
    private val clock: SimulatedClock,
    /**
     * Returns the number of the process instance, which changes when the process starts or ends. Callbacks of an
     * earlier instance are dropped.
     */
    private val instance: () -> Int,
    private val execute: (List<OwnerCommand>) -> Unit,
) {
    private var frozenUntilMs = 0L
    private val frozenCommands = ArrayList<OwnerCommand>()

    private var batchesDelayedUntilMs = 0L
    private var batchDelayMs = 0L
    private val delayedBatch = ArrayList<OwnerCommand>()

    private var slowUntilMs = 0L
    private var commandMs = 0L
    private val queuedCommands = ArrayDeque<OwnerCommand>()
    private var isExecuting = false

    fun handle(command: OwnerCommand) {
        if (clock.nowMs < frozenUntilMs) {
            frozenCommands.add(command)
        } else if (clock.nowMs < slowUntilMs || queuedCommands.isNotEmpty() || isExecuting) {
            queuedCommands.addLast(command)
            if (!isExecuting) runNextBatch()
        } else if (delayedBatch.isNotEmpty() || clock.nowMs < batchesDelayedUntilMs) {
            addToDelayedBatch(command)
        } else {
            execute(listOf(command))
        }
    }

    /** Drops all waiting commands and ends the freeze, when the process ends. */
    fun clear() {
        frozenUntilMs = 0L
        frozenCommands.clear()
        delayedBatch.clear()
        queuedCommands.clear()
        isExecuting = false
    }

    /**
     * Freezes the process but not its clocks. Commands that arrive before [untilMs] are executed together at that time.
     */
    fun freeze(untilMs: Long) {
        frozenUntilMs = untilMs
        val frozenInstance = instance()
        clock.at(untilMs) {
            val commands = frozenCommands.toList()
            frozenCommands.clear()
            if (frozenInstance == instance()) execute(commands)
        }
    }

    /** Executes commands in batches until [untilMs], each [delayMs] after its first command arrived. */
    fun delayBatches(
        delayMs: Long,
        untilMs: Long,
    ) {
        batchDelayMs = delayMs
        batchesDelayedUntilMs = untilMs
    }

    /** Makes each command take [msPerCommand] until [untilMs], so that commands wait and are executed in batches. */
    fun slowDown(
        msPerCommand: Long,
        untilMs: Long,
    ) {
        commandMs = msPerCommand
        slowUntilMs = untilMs
    }

    /** Executes one batch after another, each when the one before has ended, as the owner's loop does. */
    private fun runNextBatch() {
        val batch = List(minOf(queuedCommands.size, DaemonTuning.MAX_BATCH_SIZE)) { queuedCommands.removeFirst() }
        isExecuting = batch.isNotEmpty()
        if (batch.isEmpty()) return
        val runningInstance = instance()
        execute(batch)
        val durationMs = if (clock.nowMs < slowUntilMs) batch.size * commandMs else 0L
        clock.after(durationMs) { if (runningInstance == instance()) runNextBatch() }
    }

    private fun addToDelayedBatch(command: OwnerCommand) {
        delayedBatch.add(command)
        if (delayedBatch.size > 1) return
        val collectingInstance = instance()
        clock.after(batchDelayMs) { if (collectingInstance == instance()) runDelayedBatch() }
    }

    private fun runDelayedBatch() {
        val commands = delayedBatch.toList()
        delayedBatch.clear()
        if (clock.nowMs < frozenUntilMs) frozenCommands.addAll(commands) else execute(commands)
    }
}
