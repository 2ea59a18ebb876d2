package ledgearch.config

/** Limits that the settings are checked against, and defaults of the operators' settings. */
internal object ConfigTuning {
    /**
     * Memory used with 1000 machines under the command line in deploy/service.toml: 96 MB of heap, 24 MB of compiled
     * code, 24 MB of classes (in the archive or in metaspace), and 12 MB of stacks and of the virtual machine itself.
     * With more machines and jobs, the heap grows further.
     */
    const val RECOMMENDED_MEMORY_MB = 156.0

    /** A controller that is not the leader and serves few users takes about 42 MB. */
    const val MIN_MEMORY_MB = 45.0

    /** Sockets for the state service, the cloud, two listening addresses, the other controllers and a few clients. */
    const val MIN_FD_LIMIT = 16

    /** With fewer sockets, users wait for connections even in a small deployment. */
    const val RECOMMENDED_FD_LIMIT = 128

    /** Changes in a transaction. Closing a job takes two: its final record is put, its open record removed. */
    const val MIN_TXN_OPS = 2

    const val DEFAULT_RETRY_AFTER_S = 2

    /** In practice no limit. */
    const val DEFAULT_MAX_MACHINES = 100_000

    const val DEFAULT_RESERVE_DEVIATIONS = 0.5
}
