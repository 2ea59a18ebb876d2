package ledgearch.http

/** A request that came in; [target] is the path with its query. */
internal data class Request(
    val method: String,
    val target: String,
    val body: String,
    val keepAlive: Boolean,
) {
    /** [target] without its query. */
    val path: String get() = target.substringBefore('?')
}

/** The response to a request; [retryAfterS]: when the caller is to come back (seconds), if it is told. */
internal data class Response(
    val status: Int,
    val body: String = "",
    val retryAfterS: Int? = null,
)

/** What came back for a call to another; [status] 0 means that nothing did. */
internal data class Reply(
    val status: Int,
    val body: String,
) {
    companion object {
        /** Nothing came back: no connection, no response in time, or one that breaks the format. */
        val NONE = Reply(0, "")
    }
}

/** A message that breaks the format; [status] is what a server answers. Without a stack trace: callers can cause it. */
internal class BadMessage(
    val status: Int,
    message: String,
) : Exception(message, null, false, false)
