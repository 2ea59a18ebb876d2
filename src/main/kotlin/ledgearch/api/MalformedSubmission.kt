package ledgearch.api

/** A submission that is malformed; answered with 400 and [message]. Carries no stack trace. */
internal class MalformedSubmission(
    message: String,
) : Exception(message, null, false, false)
