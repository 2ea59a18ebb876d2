package ledgearch.peers

/** Thrown for a frame that can't be decoded; its connection is then closed. Has no stack trace. */
internal class MalformedFrameException(
    message: String,
) : Exception(message, null, false, false)
