package ledgearch.cli

/** The process and its queue: constants with their unit and the reason for their value. */
internal object DaemonTuning {
    /**
     * Share of the sockets allowed that incoming connections may take: on the largest deployments every worker, and a
     * user's connection for every third of them.
     */
    const val INCOMING_SHARE = 0.78

    /** Share of the sockets allowed that connections to others take, before unused ones are closed for new ones. */
    const val OUTGOING_SHARE = 0.18

    /**
     * Heartbeats. A worker's connection unused for so many intervals was its last, and is closed when sockets run out.
     */
    const val STALE_REPORTS = 2.5

    /** Users' requests in the owner's queue. Small: what waits longer than users do is better turned away at once. */
    const val USERS_QUEUE = 256

    /** Commands. Of [BATCH], what is left to users' requests however much else waits. */
    const val USERS_IN_BATCH = 32

    /** Commands. Handled before their effects are made, so that one pass of placement serves them all. */
    const val BATCH = 256

    /** ms. A process that has not read the state service by then listens all the same, and tells callers so. */
    const val LISTEN_WAIT_MS = 3_000L
}
