package ledgearch.peers

/** A frame that can't be decoded; the connection that it came over is closed. Carries no stack trace. */
internal class MalformedFrame(
    message: String,
) : Exception(message, null, false, false)
