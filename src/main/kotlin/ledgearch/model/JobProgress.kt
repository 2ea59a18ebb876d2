package ledgearch.model

/** Progress of an open job, as shown to users. */
internal data class JobProgress(
    /** Id of the job. */
    val jobId: String,
    /** Number of finished tasks. */
    val finishedTasks: Int,
    /** Number of running tasks. */
    val runningTasks: Int,
)
