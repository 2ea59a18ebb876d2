package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState

/** An open job: accepted and not over. */
@Serializable
internal data class JobRecord(
    val spec: JobSpec,
    /** Wall ms. */
    @SerialName("at") val submittedAt: Long,
    @SerialName("cancel") val cancelRequested: Boolean = false,
)

/** A job that is over, for ever: done with all of its [taskCount] tasks, or cancelled. */
@Serializable
internal data class FinalRecord(
    @SerialName("st") val state: JobState,
    @SerialName("n") val taskCount: Int = 0,
)

/** The finished tasks of one chunk ([Chunks]) of an open job, as [Ranges]: `0-3,7`. */
@Serializable
internal data class FinishedRecord(
    @SerialName("r") val ranges: String,
)
