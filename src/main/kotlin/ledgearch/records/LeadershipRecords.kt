package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Which process instance of which node is the leader. The revision of this record is the fencing token. [renews]: the
 * token that the record renews, 0 for a claim and in records of earlier versions.
 */
@Serializable
internal data class LeadershipRecord(
    val node: String,
    @SerialName("life") val instance: Long,
    @SerialName("over") val renews: Long = 0,
)

/** The leader [node] stepped down at the wall ms [at], since it heard next to no machine. */
@Serializable
internal data class StepDownRecord(
    val node: String,
    val at: Long,
)
