package ledgearch.model

/** Whether an attempt is told to stop, and the grace that its task gets. */
internal enum class StopMode {
    /** It is not told to stop. */
    NONE,

    /** It stops without saving anything. */
    AT_ONCE,

    /** It may save a checkpoint before. */
    CHECKPOINT_FIRST,
}
