package ledgearch.config

/**
 * Bounds of the settings and defaults of the operators' settings: constants with their unit and the reason for their
 * value.
 */
internal object ConfigTuning {
    /**
     * MB. What the process takes at the most with a thousand machines, by the command line in deploy/service.toml: 96
     * of heap, 24 of compiled code, 24 of classes, in the archive or else in metaspace, and 12 of stacks and the
     * virtual machine's own. Where more machines and jobs need it, the heap grows beyond that.
     */
    const val MEMORY_MB = 156.0

    /** MB. A controller that leads nobody and serves few users takes some 42. */
    const val LEAST_MEMORY_MB = 45.0

    /** Sockets. The state service, the cloud, two addresses, the other controllers, and a few callers. */
    const val LEAST_SOCKETS = 16

    /** Sockets. With fewer than this a small deployment's users already have to take turns. */
    const val FEW_SOCKETS = 128

    /**
     * Changes. With fewer in one transaction a job can't be closed: its final record goes in with the removal of the
     * open one.
     */
    const val FEW_CHANGES = 2

    /** s. What a user who is turned away is told to wait. */
    const val RETRY_AFTER_S = 2

    /** Machines. Rented at most unless operators say less: no bound in practice. */
    const val MAX_MACHINES = 100_000

    /** Standard deviations of what a boot time brings that are kept free beyond what is expected. */
    const val RESERVE_DEVIATIONS = 0.5
}
