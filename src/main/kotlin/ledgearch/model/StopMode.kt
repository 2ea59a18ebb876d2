package ledgearch.model

/** Whether and how an attempt is to be stopped. */
internal enum class StopMode {
    /** The attempt is not to be stopped. */
    NONE,

    /** The task stops at once, without saving a checkpoint. */
    AT_ONCE,

    /** The task may save a checkpoint before it stops. */
    CHECKPOINT_FIRST,
}
