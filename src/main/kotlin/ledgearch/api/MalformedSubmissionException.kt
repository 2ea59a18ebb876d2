package ledgearch.api

/** Thrown for a malformed submission, which gets a 400 with [message] as its error. Has no stack trace. */
internal class MalformedSubmissionException(
    message: String,
) : Exception(message, null, false, false)
