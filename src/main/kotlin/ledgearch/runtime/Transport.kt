package ledgearch.runtime

import ledgearch.http.Reply

/** How the owner reaches others: every effect is a call whose reply comes back as a command, run by the owner. */
internal interface Transport {
    /**
     * Calls [address] (HOST:PORT) and returns at once; never throws. [target] is the path with its query. [done] gets
     * the reply, or [Reply.NONE] when none came within [timeoutMs]; the owner runs it, once.
     */
    fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        done: (Reply) -> Unit,
    )
}
