package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import ledgearch.wire.JobSpec
import ledgearch.wire.JobState

/** The record of an open job: accepted, and neither done nor cancelled yet. */
@Serializable
internal data class JobRecord(
    val spec: JobSpec,
    /** Wall-clock time. */
    @SerialName("at") val submittedAtMs: Long,
    @SerialName("cancel") val cancelRequested: Boolean = false,
)

/** The permanent record of a job that has ended: done with all [taskCount] tasks, or cancelled. */
@Serializable
internal data class FinalRecord(
    @SerialName("st") val state: JobState,
    @SerialName("n") val taskCount: Int = 0,
)

/** The finished tasks in one chunk ([TaskChunks]) of an open job, encoded by [TaskRanges]: `0-3,7`. */
@Serializable
internal data class FinishedTasksRecord(
    @SerialName("r") val ranges: String,
)
