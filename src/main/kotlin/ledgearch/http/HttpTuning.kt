package ledgearch.http

/** Limits and timeouts of sockets and HTTP. */
internal object HttpTuning {
    /** Limit of the protocol for a request body. */
    const val MAX_REQUEST_BODY_BYTES = 64 * 1024

    /** A full page of keys has 512 KiB, and the reply to a watch has no bound; a larger response is dropped. */
    const val MAX_RESPONSE_BODY_BYTES = 16 * 1024 * 1024

    /** All header lines of a message together; the protocol needs a few hundred bytes. */
    const val MAX_HEAD_BYTES = 8 * 1024

    /** Initial buffer of a connection. Nearly every message fits, and a thousand idle users need little memory. */
    const val READ_BUFFER_BYTES = 2 * 1024

    /** A buffer that grew beyond this multiple of [READ_BUFFER_BYTES] is replaced once its message is read. */
    const val MAX_KEPT_BUFFER_FACTOR = 4

    /** Line before a chunk: its size and any extensions, which no known peer sends. */
    const val MAX_CHUNK_LINE_BYTES = 64

    /** Initial capacity in characters; nearly every request head fits. */
    const val REQUEST_HEAD_CHARS = 160

    /** Initial capacity in characters; nearly every response head fits. */
    const val RESPONSE_HEAD_CHARS = 128

    /** Small, so that an overloaded node refuses clients and they try the next one. */
    const val ACCEPT_BACKLOG = 128

    /** A twentieth of the shortest wait that users ask for. */
    const val ACCEPT_RETRY_DELAY_MS = 50L

    /** Between two requests. Users poll about every 5 s, so only abandoned connections expire. */
    const val IDLE_TIMEOUT_MS = 60_000L

    /** Longer than the retransmission of a lost packet; bounds slow clients. */
    const val REQUEST_READ_TIMEOUT_MS = 10_000L

    /** Small in comparison to [REQUEST_READ_TIMEOUT_MS]. */
    const val DEADLINE_CHECK_INTERVAL_MS = 1_000L

    /** How long one write may stall before the connection is closed. */
    const val WRITE_TIMEOUT_MS = 10_000L

    /** Allows several retransmissions of a lost packet. */
    const val CONNECT_TIMEOUT_MS = 1_500L

    /** Every peer is normally called more often. */
    const val POOLED_IDLE_TIMEOUT_MS = 20_000L

    /** No timeout or pause needs a finer resolution. */
    const val TIMER_RESOLUTION_MS = 50L

    /**
     * How long sockets are polled before the owner's batch runs, as long as each poll finds events. Bounded by time and
     * not by a number of polls: a node short of processor time would need a fraction of a second for them and count as
     * lagging.
     */
    const val MAX_SOCKET_POLLING_MS = 50L
}
