package ledgearch.cli

import org.slf4j.LoggerFactory

/**
 * Ends the process after a failure that leaves its state unknown: no memory, no stack, or an owner that has stopped.
 * All state that matters is in the state service, so a process that is started again is worth more than one that goes
 * on without its owner and keeps its lease and its connections.
 */
internal class Crash(
    private val exit: (Int) -> Unit,
) {
    private val log = LoggerFactory.getLogger("ledgearch.daemon")

    /** A failure that nothing has caught: an exception ends what it was thrown in, an error the process. */
    fun uncaught(failure: Throwable) {
        if (failure is Error) end(failure) else log.error("unexpected failure", failure)
    }

    /** Logs in one line, without a stack trace: little may be left to log with. */
    fun end(failure: Throwable) {
        try {
            log.error("the process ends to be started again: {}", failure.toString())
        } finally {
            exit(ExitCodes.FAILURE)
        }
    }
}
