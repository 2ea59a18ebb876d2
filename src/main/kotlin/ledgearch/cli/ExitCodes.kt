package ledgearch.cli

/** Exit codes of the process, which are listed in [CommandLine.USAGE]. */
internal object ExitCodes {
    /** The command succeeded. */
    const val OK = 0

    /** The command line is invalid. */
    const val USAGE = 2

    /** The settings are invalid. */
    const val SETTINGS = 3

    /** An address can't be listened on. */
    const val ADDRESS = 4

    /** A fatal error occurred; the process has to be restarted. */
    const val FAILURE = 5

    /** A controller did not reply to a status request. */
    const val UNREACHABLE = 6
}
