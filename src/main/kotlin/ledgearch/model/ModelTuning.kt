package ledgearch.model

/** Machines and their queues: constants with their unit and the reason for their value. */
internal object ModelTuning {
    /** Tasks. On one machine, so that its report, some 110 bytes a task, stays under 64 KiB. */
    const val MACHINE_TASKS = 400

    /** Bound, unstarted tasks. TH_u: at most this many is underloaded. */
    const val TH_U = 0

    /** TH_f: above TH_u up to this is medium, above it full. */
    const val TH_F = 1

    /** TH_v: above it a machine is overloaded and new tasks overflow to buddies. */
    const val TH_V = 2
}
