package ledgearch.runtime

import ledgearch.http.Reply

/** Sends the calls of the owner thread to other processes. Each reply comes back as a command that the owner runs. */
internal interface Transport {
    /**
     * Starts a call to [address] (HOST:PORT) and returns at once; never throws. [target] is the path with its query.
     * The owner runs [onReply] exactly once, with the reply, or with [Reply.NONE] if none came within [timeoutMs].
     */
    fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        onReply: (Reply) -> Unit,
    )
}
