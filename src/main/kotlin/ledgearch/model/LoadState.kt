package ledgearch.model

/**
 * Load state of a machine by the length of its queue. The thresholds are those of section 2 of the paper by Y.-C. Chang
 * and K. G. Shin, "Optimal Load Sharing in Distributed Real-Time Systems" (1993).
 */
internal enum class LoadState {
    /** At most TH_u tasks wait: the machine takes surplus tasks from its buddies. */
    UNDERLOADED,

    /** More than TH_u and at most TH_f tasks wait. */
    MEDIUM,

    /** More than TH_f and at most TH_v tasks wait. */
    FULL,

    /** More than TH_v tasks wait: new tasks are transferred to a buddy. */
    OVERLOADED,
    ;

    companion object {
        /** Returns the load state of a machine with [queueLength] bound tasks that have not started. */
        fun of(queueLength: Int): LoadState =
            when {
                queueLength <= ModelTuning.MAX_UNDERLOADED_TASKS -> UNDERLOADED
                queueLength <= ModelTuning.MAX_MEDIUM_TASKS -> MEDIUM
                queueLength <= ModelTuning.MAX_FULL_TASKS -> FULL
                else -> OVERLOADED
            }
    }
}
