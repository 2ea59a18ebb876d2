package ledgearch.model

/**
 * State of a task attempt as known to the leader. The ordinals are part of the replication stream between controllers,
 * so the order of the entries must not change.
 */
internal enum class AttemptState {
    /** The leader has placed the task; the agent has not reported the attempt yet. */
    ASSIGNED,

    /** The agent is fetching the image. */
    FETCHING,

    RUNNING,

    /** The task is saving a checkpoint before it stops. */
    SAVING,

    /** Nothing of the attempt runs any more; the agent may still list it. */
    EXITED,
}
