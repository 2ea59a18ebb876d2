package ledgearch.http

/** A request that came in; [target] is the path with its query. */
internal data class Request(
    val method: String,
    val target: String,
    val body: String,
    val keepAlive: Boolean,
) {
    val path: String get() = target.substringBefore('?')
}

/** The answer to a request; [retryAfterS]: when the caller is to come back (seconds), if it is told. */
internal data class Response(
    val status: Int,
    val body: String = "",
    val retryAfterS: Int? = null,
)

/** The answer to a call; [status] 0 means that none came. */
internal data class Reply(
    val status: Int,
    val body: String,
) {
    companion object {
        val NONE = Reply(0, "")
    }
}

/** A message that breaks the format; [status] is what a server answers. */
internal class BadMessage(
    val status: Int,
    message: String,
) : Exception(message, null, false, false)
