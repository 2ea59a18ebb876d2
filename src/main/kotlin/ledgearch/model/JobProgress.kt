package ledgearch.model

/** Progress of an open job, as shown to users. */
internal data class JobProgress(
    /** Id of the job. */
    val job: String,
    /** Number of finished tasks. */
    val done: Int,
    /** Number of running tasks. */
    val running: Int,
)
