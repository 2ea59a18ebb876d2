package ledgearch.cli

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.select
import ledgearch.control.OwnerCommand
import ledgearch.http.SteadyTime
import ledgearch.runtime.RuntimeTuning

/**
 * Queues commands for the owner. Heartbeats, replies, mesh events and ticks have priority, and suspend their senders
 * while their queue is full; users' requests come after them and are rejected while their queue is full. Used from one
 * thread only.
 */
internal class OwnerQueue {
    private val priorityCommands = Channel<OwnerCommand>(RuntimeTuning.QUEUE_CAPACITY)
    private val userRequests = Channel<OwnerCommand>(DaemonTuning.USER_QUEUE_CAPACITY)

    /** Number of commands in both queues, including those whose senders are suspended. */
    var commandCount = 0
        private set

    /** Adds [command] with priority over users' requests; suspends while that queue is full. */
    suspend fun put(command: OwnerCommand) {
        commandCount++
        priorityCommands.send(command)
    }

    /** Adds a tick, or skips it if the queue is full, since the next one follows soon. */
    fun offerTick() {
        val tick = OwnerCommand.Tick(SteadyTime.nowMs())
        if (priorityCommands.trySend(tick).isSuccess) commandCount++
    }

    /** Adds [command], a user's request; returns false if the queue is full. */
    fun offerUserRequest(command: OwnerCommand): Boolean {
        val isAdded = userRequests.trySend(command).isSuccess
        if (isAdded) commandCount++
        return isAdded
    }

    /**
     * Waits for a command, then moves up to [DaemonTuning.MAX_BATCH_SIZE] commands to the empty [batch], of which
     * [DaemonTuning.RESERVED_USER_COMMANDS] are reserved for users' requests.
     */
    suspend fun takeBatch(batch: MutableList<OwnerCommand>) {
        batch.add(receiveNext())
        drain(priorityCommands, batch, DaemonTuning.MAX_BATCH_SIZE - DaemonTuning.RESERVED_USER_COMMANDS)
        drain(userRequests, batch, DaemonTuning.MAX_BATCH_SIZE)
        commandCount -= batch.size
    }

    /** Waits for a command. Must not be given a time-out: a command received at that moment would be lost. */
    private suspend fun receiveNext(): OwnerCommand =
        select {
            priorityCommands.onReceive { it }
            userRequests.onReceive { it }
        }

    private fun drain(
        channel: Channel<OwnerCommand>,
        batch: MutableList<OwnerCommand>,
        maxBatchSize: Int,
    ) {
        while (batch.size < maxBatchSize) batch.add(channel.tryReceive().getOrNull() ?: break)
    }
}
