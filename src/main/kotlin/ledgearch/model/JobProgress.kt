package ledgearch.model

/** What is shown to users of an open job: how many of its tasks are done and how many run. */
internal data class JobProgress(
    /** The job's id. */
    val job: String,
    /** Finished tasks. */
    val done: Int,
    /** Running tasks. */
    val running: Int,
)
