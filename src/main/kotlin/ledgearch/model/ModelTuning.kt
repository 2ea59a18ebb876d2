package ledgearch.model

/** Limits of machines and of their queues. */
internal object ModelTuning {
    /** An agent drops a reply 4 s after it sent the heartbeat; the rest covers clock drift and queueing. */
    const val HEARTBEAT_REPLY_TIMEOUT_MS = 4_500L

    /** Keeps a heartbeat, at about 110 bytes per task, below 64 KiB. */
    const val MAX_TASKS_PER_MACHINE = 400

    /** Time after its last failure for which a job counts as one that fails everywhere: more than its longest delay. */
    const val JOB_SUSPICION_MS = 75_000L

    /** First pause of a quarantined machine before a trial: a fetch and a start of the same task elsewhere. */
    const val FIRST_TRIAL_PAUSE_MS = 5_000L

    /** Users accept a wait of 90 s while a machine has room; two trials fit into that time. */
    const val MAX_TRIAL_PAUSE_MS = 30_000L

    /** The same of a machine that is faulty without doubt, which may still have been repaired. */
    const val FIRST_CERTAIN_TRIAL_PAUSE_MS = 30_000L

    /** One trial fits into the wait that users accept. */
    const val MAX_CERTAIN_TRIAL_PAUSE_MS = 60_000L

    /** Enough doublings to reach the longest pauses; more would overflow eventually. */
    const val MAX_TRIAL_PAUSE_DOUBLINGS = 3

    /** Time for which a task must run before this shows that it works where it runs: faulty machines fail at once. */
    const val SOUND_RUN_MS = 10_000L

    /** TH_u of [LoadState]'s paper: a machine with at most this many bound tasks is underloaded. */
    const val MAX_UNDERLOADED_TASKS = 0

    /** The paper's TH_f: a machine with more than TH_u and at most this many bound tasks is at medium load. */
    const val MAX_MEDIUM_TASKS = 1

    /** The paper's TH_v: a machine with more bound tasks is overloaded, and new tasks go to its buddies. */
    const val MAX_FULL_TASKS = 2
}
