package ledgearch.config

/** Thrown for an invalid settings file; [message] is one line with the file, the field and what is allowed. */
class SettingsException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)
