package ledgearch.runtime

import ledgearch.http.Reply

/** The owner's way out: every effect is a call whose answer comes back as a command, run by the owner. */
internal interface Transport {
    fun call(
        address: String,
        method: String,
        target: String,
        body: String?,
        timeoutMs: Long,
        done: (Reply) -> Unit,
    )
}

/** Time as the owner sees it: set once for each batch of commands. */
internal class Clock {
    /** ms on the steady clock. */
    var steadyMs = 0L

    /** ms of the time of day. */
    var wallMs = 0L
}
