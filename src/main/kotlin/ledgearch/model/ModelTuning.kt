package ledgearch.model

/** Limits of machines and of their queues. */
internal object ModelTuning {
    /** Keeps a heartbeat, at about 110 bytes per task, below 64 KiB. */
    const val MAX_TASKS_PER_MACHINE = 400

    /** TH_u of [LoadState]'s paper: a machine with at most this many bound tasks is underloaded. */
    const val MAX_UNDERLOADED_TASKS = 0

    /** The paper's TH_f: a machine with more than TH_u and at most this many bound tasks is at medium load. */
    const val MAX_MEDIUM_TASKS = 1

    /** The paper's TH_v: a machine with more bound tasks is overloaded, and new tasks go to its buddies. */
    const val MAX_FULL_TASKS = 2
}
