package ledgearch.model

/** Load state of a machine by the length of its queue, with the thresholds of section 2 of the paper. */
internal enum class LoadState {
    /** At most TH_u tasks wait: the machine takes surplus tasks of its buddies. */
    UNDERLOADED,

    /** More than TH_u, at most TH_f. */
    MEDIUM,

    /** More than TH_f, at most TH_v. */
    FULL,

    /** More than TH_v: new tasks are transferred to a buddy. */
    OVERLOADED,
    ;

    companion object {
        /** The state of a machine with [queueLength] bound, unstarted tasks. */
        fun of(queueLength: Int): LoadState =
            when {
                queueLength <= ModelTuning.UNDERLOADED_MAX -> UNDERLOADED
                queueLength <= ModelTuning.MEDIUM_MAX -> MEDIUM
                queueLength <= ModelTuning.FULL_MAX -> FULL
                else -> OVERLOADED
            }
    }
}
