package ledgearch.http

/** An incoming request; [target] is the path with its query. */
internal data class Request(
    val method: String,
    val target: String,
    val body: String,
    val keepAlive: Boolean,
) {
    /** Path of [target], without the query. */
    val path: String get() = target.substringBefore('?')
}

/** The response to a request; [retryAfterS] is the time in seconds after which the client is to retry, if given. */
internal data class Response(
    val status: Int,
    val body: String = "",
    val retryAfterS: Int? = null,
    /** Why the request was refused, for logs; not sent. */
    val refusalLabel: String? = null,
)

/** The reply to an outgoing call; [status] 0 means that there was none. */
internal data class Reply(
    val status: Int,
    val body: String,
) {
    companion object {
        /** No reply: the connection failed, the response was late or it was malformed. */
        val NONE = Reply(0, "")
    }
}

/** Thrown for a malformed message, to be answered with [status]. Without a stack trace, since clients can cause it. */
internal class MalformedMessageException(
    val status: Int,
    message: String,
) : Exception(message, null, false, false)
