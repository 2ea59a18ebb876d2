package ledgearch.cli

import org.slf4j.LoggerFactory

/**
 * Ends the process after a failure that leaves its state unknown: no memory, no stack, or an owner that has stopped.
 * All state that matters is in the state service, so a process that is restarted is worth more than one that goes on
 * without its owner and keeps its lease and its connections. [exit] takes one of [ExitCodes].
 */
internal class Crash(
    private val exit: (Int) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.cli")

    /** A failure that no coroutine has caught: an exception ends only its own coroutine, an error the process. */
    fun uncaught(failure: Throwable) {
        if (failure is Error) end(failure) else log.error("unhandled exception, the process goes on", failure)
    }

    /** Logs in one line, without a stack trace: little memory or stack may be left to log with. */
    fun end(failure: Throwable) {
        try {
            log.error("the process exits and is to be restarted: {}", failure.toString())
        } finally {
            exit(ExitCodes.FAILURE)
        }
    }
}
