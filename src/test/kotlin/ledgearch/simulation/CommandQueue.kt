package ledgearch.simulation

import ledgearch.cli.DaemonTuning
import ledgearch.control.OwnerCommand

/**
 * How a simulated process takes its commands: at once; while it is frozen not before the end of that; while it is slow
 * one batch after the other; and while batches are delayed, collected for a while.
 */
internal class CommandQueue(
    private val clock: SimulatedClock,
    /** Changes when the process ends or starts: what was scheduled for an earlier one is dropped. */
    private val instance: () -> Int,
    private val execute: (List<OwnerCommand>) -> Unit,
) {
    private var frozenUntil = 0L
    private val frozenCommands = ArrayList<OwnerCommand>()

    private var batchesDelayedUntil = 0L
    private var batchDelayMs = 0L
    private val delayedBatch = ArrayList<OwnerCommand>()

    private var slowUntil = 0L
    private var commandMs = 0L
    private val waiting = ArrayDeque<OwnerCommand>()
    private var isWorking = false

    fun run(command: OwnerCommand) {
        if (clock.now < frozenUntil) {
            frozenCommands.add(command)
        } else if (clock.now < slowUntil || waiting.isNotEmpty() || isWorking) {
            waiting.addLast(command)
            if (!isWorking) runNextBatch()
        } else if (delayedBatch.isNotEmpty() || clock.now < batchesDelayedUntil) {
            addToDelayedBatch(command)
        } else {
            execute(listOf(command))
        }
    }

    /** The process has ended, and with it all that waits. */
    fun clear() {
        frozenUntil = 0L
        frozenCommands.clear()
        delayedBatch.clear()
        waiting.clear()
        isWorking = false
    }

    /** The process stands still, its clocks run on; what came meanwhile is executed at once. */
    fun freeze(until: Long) {
        frozenUntil = until
        val frozenInstance = instance()
        clock.at(until) {
            val commands = frozenCommands.toList()
            frozenCommands.clear()
            if (frozenInstance == instance()) execute(commands)
        }
    }

    /** Until then commands are executed in batches, each [ms] after its first command came. */
    fun delayBatches(
        ms: Long,
        until: Long,
    ) {
        batchDelayMs = ms
        batchesDelayedUntil = until
    }

    /** Until then each command takes [ms] of the process, so that commands wait and are executed in batches. */
    fun slowDown(
        ms: Long,
        until: Long,
    ) {
        commandMs = ms
        slowUntil = until
    }

    /** As the owner's loop does: one batch after the other, each started when the one before is over. */
    private fun runNextBatch() {
        val batch = List(minOf(waiting.size, DaemonTuning.BATCH)) { waiting.removeFirst() }
        isWorking = batch.isNotEmpty()
        if (batch.isEmpty()) return
        val runningInstance = instance()
        execute(batch)
        val tookMs = if (clock.now < slowUntil) batch.size * commandMs else 0L
        clock.after(tookMs) { if (runningInstance == instance()) runNextBatch() }
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
        if (clock.now < frozenUntil) frozenCommands.addAll(commands) else execute(commands)
    }
}
