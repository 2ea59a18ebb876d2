package ledgearch.model

/** Progress of an open job, as shown to users. */
internal data class JobProgress(
    val jobId: String,
    val finishedTasks: Int,
    val runningTasks: Int,
)
