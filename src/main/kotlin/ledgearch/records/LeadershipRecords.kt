package ledgearch.records

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The node and the process instance that hold the leadership. The revision of this record is the fencing token. */
@Serializable
internal data class LeadershipRecord(
    val node: String,
    @SerialName("life") val instance: Long,
    /** The token that this record renews; 0 in a claim and in records of earlier versions. */
    @SerialName("over") val renewedToken: Long = 0,
)

/** The record of a leader, [node], that stepped down because it received heartbeats from almost no machine. */
@Serializable
internal data class StepDownRecord(
    val node: String,
    /** Wall-clock time. */
    @SerialName("at") val steppedDownAtMs: Long,
)
