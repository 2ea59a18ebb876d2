package ledgearch.cli

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import ledgearch.control.OwnerCommand
import ledgearch.runtime.Metrics
import ledgearch.runtime.RuntimeTuning

/**
 * What waits for the owner, in two lines. Workers' reports, answers and time come first and hold their senders back
 * when the line is full; users' requests wait behind them, and one too many is turned away at once.
 */
internal class OwnerQueue {
    private val first = Channel<OwnerCommand>(RuntimeTuning.QUEUE)
    private val users = Channel<OwnerCommand>(DaemonTuning.USERS_QUEUE)

    /** Commands in the queue, or waiting to be. */
    var waiting = 0
        private set

    suspend fun put(command: OwnerCommand) {
        waiting++
        first.send(command)
    }

    /** Time that has passed is told again soon: a tick finds room or is left out. */
    fun tick() {
        val tick = OwnerCommand.Tick(System.nanoTime() / Metrics.NANOS_PER_MS)
        if (first.trySend(tick).isSuccess) waiting++
    }

    /** Whether there was room for a user's request. */
    fun offer(command: OwnerCommand): Boolean = users.trySend(command).isSuccess.also { if (it) waiting++ }

    /**
     * Waits for a command, then adds what else there is to [batch], up to [DaemonTuning.BATCH]; a part is always the
     * users'.
     */
    suspend fun take(batch: MutableList<OwnerCommand>) {
        // Never with a time-out: a command handed over at the moment of the time-out would be lost.
        batch.add(
            select {
                first.onReceive { it }
                users.onReceive { it }
            },
        )
        while (batch.size <
            DaemonTuning.BATCH - DaemonTuning.USERS_IN_BATCH
        ) {
            batch.add(first.tryReceive().getOrNull() ?: break)
        }
        while (batch.size < DaemonTuning.BATCH) batch.add(users.tryReceive().getOrNull() ?: break)
        waiting -= batch.size
    }
}
