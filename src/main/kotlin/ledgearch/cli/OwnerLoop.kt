package ledgearch.cli

import ledgearch.control.OwnerCommand

/** Takes the owner's commands from its queue in batches; it ends only with the process. */
internal class OwnerLoop(
    private val queue: OwnerQueue,
    private val crash: Crash,
    /** Works off a batch. */
    private val work: (List<OwnerCommand>) -> Unit,
) {
    /** Whatever leaves the loop ends the process: without its owner it would only look alive. */
    suspend fun run() {
        try {
            workForEver()
        } catch (e: Throwable) {
            crash.end(e)
        }
    }

    private suspend fun workForEver() {
        val batch = ArrayList<OwnerCommand>(DaemonTuning.BATCH)
        while (true) {
            batch.clear()
            queue.take(batch)
            work(batch)
        }
    }
}
