package ledgearch.cli

import ledgearch.control.OwnerCommand

/**
 * Takes the owner's commands from [queue] and hands them on in batches; it ends only with the process. [handleBatch]
 * may not keep the list that it gets: the next batch is written to the same one.
 */
internal class OwnerLoop(
    private val queue: OwnerQueue,
    private val crash: Crash,
    private val handleBatch: (List<OwnerCommand>) -> Unit,
) {
    /**
     * Returns only when the process is to end, and whatever leaves the loop ends it: without its owner it would only
     * look alive. As the last barrier this catches everything: an error (no memory, no stack) has to end the process
     * as well as an exception.
     */
    @Suppress("TooGenericExceptionCaught") // The last barrier, see above.
    suspend fun run() {
        try {
            handleForever()
        } catch (e: Throwable) {
            crash.end(e)
        }
    }

    private suspend fun handleForever() {
        val batch = ArrayList<OwnerCommand>(DaemonTuning.BATCH)
        while (true) {
            batch.clear()
            queue.take(batch)
            handleBatch(batch)
        }
    }
}
