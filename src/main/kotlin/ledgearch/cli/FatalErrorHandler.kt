package ledgearch.cli

import org.slf4j.LoggerFactory

/**
 * Ends the process after a failure that leaves its state undefined: out of memory, stack overflow, or a failure of the
 * owner's loop. All durable state is in the state service, so restarting is better than continuing without the owner
 * while keeping the lease and the connections. [exit] is called with [ExitCodes.FAILURE].
 */
internal class FatalErrorHandler(
    private val exit: (Int) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.cli")

    /** Handles a [failure] that ended a coroutine: ends the process after an [Error], only logs other exceptions. */
    fun handleUncaught(failure: Throwable) {
        if (failure is Error) terminate(failure) else log.error("unhandled exception, the process continues", failure)
    }

    /** Ends the process. Logs [failure] without a stack trace, since memory or stack may be exhausted. */
    fun terminate(failure: Throwable) {
        try {
            log.error("fatal error, the process exits and has to be restarted: {}", failure.toString())
        } finally {
            exit(ExitCodes.FAILURE)
        }
    }
}
