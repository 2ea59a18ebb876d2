package ledgearch.model

/** Machines and their queues: constants with their unit and the reason for their value. */
internal object ModelTuning {
    /** Tasks. On one machine, so that its heartbeat, some 110 bytes a task, stays under 64 KiB. */
    const val MACHINE_TASKS = 400

    /** Bound, unstarted tasks. The paper's TH_u: a machine with at most this many is underloaded. */
    const val UNDERLOADED_MAX = 0

    /** Bound, unstarted tasks. The paper's TH_f: above TH_u up to this is medium, above it full. */
    const val MEDIUM_MAX = 1

    /** Bound, unstarted tasks. The paper's TH_v: above it a machine is overloaded, new tasks go to its buddies. */
    const val FULL_MAX = 2
}
