package ledgearch.model

/**
 * The state of an attempt as the leader knows it. The order is part of the decision stream between controllers and
 * never changes.
 */
internal enum class AttemptState {
    /** The leader has decided on it; the worker has not said yet what it does with it. */
    ASSIGNED,

    /** The worker fetches the image. */
    FETCHING,

    RUNNING,

    /** The task saves a checkpoint, since it is to stop. */
    SAVING,

    /** Nothing of it runs any more; the worker may still list it. */
    EXITED,
}
