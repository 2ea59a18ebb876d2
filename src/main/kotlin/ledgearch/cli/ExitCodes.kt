package ledgearch.cli

/** The codes that the process exits with; the usage text names them for operators. */
internal object ExitCodes {
    /** What was asked for is done. */
    const val OK = 0

    /** The command line can't be understood. */
    const val USAGE = 2

    /** The settings can't be used. */
    const val SETTINGS = 3

    /** An address can't be listened on. */
    const val ADDRESS = 4

    /** The process can't go on and is to be restarted. */
    const val FAILURE = 5

    /** A controller that was asked for its status does not answer. */
    const val UNREACHABLE = 6
}
