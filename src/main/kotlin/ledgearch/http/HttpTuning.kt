package ledgearch.http

/** Sockets and HTTP: constants with their unit and the reason for their value. */
internal object HttpTuning {
    /** Bytes. The protocol's bound on a request body. */
    const val MAX_BODY = 64 * 1024

    /** Bytes. A whole page of keys is 512 KiB and a watch answer has no bound; beyond this the answer is dropped. */
    const val MAX_RESPONSE = 16 * 1024 * 1024

    /** Bytes. All header lines of a message together; the protocol needs a few hundred. */
    const val MAX_HEAD = 8 * 1024

    /** Bytes. First buffer of a connection: nearly every message fits, and a thousand idle users stay cheap. */
    const val READ_BUFFER = 2 * 1024

    /** Times [READ_BUFFER]. A buffer that grew beyond this is replaced by a small one once its message is read. */
    const val KEPT_BUFFERS = 4

    /** Bytes. The line before a chunk: its size and extensions that nobody here sends. */
    const val MAX_CHUNK_LINE = 64

    /** Characters. First size of a request's head: nearly every one fits. */
    const val REQUEST_HEAD = 160

    /** Characters. First size of a response's head: nearly every one fits. */
    const val RESPONSE_HEAD = 128

    /** Connections. Waiting to be accepted; small, so that a full node refuses and callers go on to the next. */
    const val ACCEPT_BACKLOG = 128

    /** ms. Until a caller is accepted again after one could not be: a twentieth of the shortest wait of users. */
    const val ACCEPT_RETRY_MS = 50L

    /** ms. A connection with no request in progress; users poll about every 5 s, so this closes only forgotten ones. */
    const val IDLE_MS = 60_000L

    /** ms. From the first byte of a request to its last: longer than any lost packet's resend, bounds slow senders. */
    const val SLOW_REQUEST_MS = 10_000L

    /** ms. Between two looks for callers that are past their time: small beside [SLOW_REQUEST_MS]. */
    const val LATE_CALLERS_MS = 1_000L

    /** ms. How long one write may stall before the connection is given up. */
    const val WRITE_MS = 10_000L

    /** ms. Opening a connection to anything: several resends of a lost packet. */
    const val CONNECT_MS = 1_500L

    /** ms. Kept-alive connections to others are closed after this: nothing here is called more rarely. */
    const val POOLED_IDLE_MS = 20_000L

    /** ms. Between two looks for timers that are due: no time-out or pause here needs more precision. */
    const val TIMER_STEP_MS = 50L

    /**
     * ms. So long looks at the sockets go before the owner's turn while each finds something. By looks alone, a node
     * short of processor time would take a fraction of a second for them, and count as behind.
     */
    const val SOCKETS_MS = 50L
}
