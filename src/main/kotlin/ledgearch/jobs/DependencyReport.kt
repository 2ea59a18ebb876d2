package ledgearch.jobs

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Dependencies that are neither open nor known to have ended, so that jobs that need them can't be reported. */
@Serializable
internal data class DependencyReport(
    /** Their number. */
    val awaited: Int,
    /** Time in ms for which the oldest has been awaited, or 0. */
    @SerialName("oldest_ms") val oldestMs: Long,
    /** How often a wanted final record was passed over by others; not 0 is a defect. */
    @SerialName("passed_over") val passedOver: Long,
)
