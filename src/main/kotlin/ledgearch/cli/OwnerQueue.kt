package ledgearch.cli

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import ledgearch.control.OwnerCommand
import ledgearch.http.SteadyTime
import ledgearch.runtime.RuntimeTuning

/**
 * The commands that wait for the owner, in two queues. Heartbeats, replies, mesh events and ticks come first and hold
 * their senders back when their queue is full; users' requests wait behind them, and one too many is turned away at
 * once. Used from one thread only.
 */
internal class OwnerQueue {
    private val urgent = Channel<OwnerCommand>(RuntimeTuning.QUEUE_CAPACITY)
    private val users = Channel<OwnerCommand>(DaemonTuning.USERS_QUEUE)

    /** Commands in both queues, or waiting for room in one. */
    var waiting = 0
        private set

    /** Adds [command] before all users' requests; suspends while that queue is full. */
    suspend fun put(command: OwnerCommand) {
        waiting++
        urgent.send(command)
    }

    /** Adds a tick, or leaves it out when the queue is full: the next one soon tells the time again. */
    fun tick() {
        val tick = OwnerCommand.Tick(SteadyTime.nowMs())
        if (urgent.trySend(tick).isSuccess) waiting++
    }

    /** Adds a user's request; false when there is no room for it. */
    fun offer(command: OwnerCommand): Boolean {
        val hasRoom = users.trySend(command).isSuccess
        if (hasRoom) waiting++
        return hasRoom
    }

    /**
     * Waits for a command, then adds what else there is to [batch], up to [DaemonTuning.BATCH]; room for
     * [DaemonTuning.USERS_IN_BATCH] of them is always left to users.
     */
    suspend fun take(batch: MutableList<OwnerCommand>) {
        batch.add(next())
        drain(urgent, batch, DaemonTuning.BATCH - DaemonTuning.USERS_IN_BATCH)
        drain(users, batch, DaemonTuning.BATCH)
        waiting -= batch.size
    }

    /** Never with a time-out: a command handed over at the moment of the time-out would be lost. */
    private suspend fun next(): OwnerCommand =
        select {
            urgent.onReceive { it }
            users.onReceive { it }
        }

    private fun drain(
        channel: Channel<OwnerCommand>,
        batch: MutableList<OwnerCommand>,
        mostInBatch: Int,
    ) {
        while (batch.size < mostInBatch) batch.add(channel.tryReceive().getOrNull() ?: break)
    }
}
