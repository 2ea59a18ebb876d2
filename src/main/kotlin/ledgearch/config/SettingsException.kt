package ledgearch.config

/** A settings file that can't be used; [message] names the file, the field and what is allowed, in one line. */
class SettingsException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)
