package ledgearch.cli

/** Limits of the process and of its queue. */
internal object DaemonTuning {
    /**
     * Share of the allowed sockets for incoming connections. In the largest deployments this is one for every worker
     * and one user connection for every third worker.
     */
    const val INCOMING_SOCKET_SHARE = 0.78

    /** Share of the allowed sockets for outgoing connections; beyond it, unused ones are closed for new ones. */
    const val OUTGOING_SOCKET_SHARE = 0.18

    /** Heartbeat intervals after which a worker's idle connection may be closed when sockets run out. */
    const val MIN_EVICTION_IDLE_INTERVALS = 2.5

    /** Requests of users in the owner's queue. Small, since a request that waits longer than its user is useless. */
    const val USER_QUEUE_CAPACITY = 256

    /** Commands in a batch reserved for users' requests, however many others wait. */
    const val RESERVED_USER_COMMANDS = 32

    /** Commands in a batch; all are handled before one placement pass. */
    const val MAX_BATCH_SIZE = 256

    /** After this time the controller listens and rejects requests even if it has not read the state service. */
    const val MAX_LISTEN_DELAY_MS = 3_000L
}
