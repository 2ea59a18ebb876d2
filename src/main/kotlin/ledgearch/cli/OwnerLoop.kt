package ledgearch.cli

import ledgearch.control.OwnerCommand

/**
 * Passes the owner's commands from [queue] to [handleBatch] in batches until the process ends. [handleBatch] must not
 * keep the list, which is reused for the next batch.
 */
internal class OwnerLoop(
    private val queue: OwnerQueue,
    private val fatalErrorHandler: FatalErrorHandler,
    private val handleBatch: (List<OwnerCommand>) -> Unit,
) {
    /**
     * Runs until a failure, which ends the process: without its owner it would appear to work but do nothing. Catches
     * every [Throwable], since errors such as [OutOfMemoryError] and exceptions alike have to end the process.
     */
    @Suppress("TooGenericExceptionCaught") // Any failure has to end the process, see above.
    suspend fun run() {
        try {
            handleBatchesForever()
        } catch (e: Throwable) {
            fatalErrorHandler.terminate(e)
        }
    }

    private suspend fun handleBatchesForever() {
        val batch = ArrayList<OwnerCommand>(DaemonTuning.MAX_BATCH_SIZE)
        while (true) {
            batch.clear()
            queue.takeBatch(batch)
            handleBatch(batch)
        }
    }
}
