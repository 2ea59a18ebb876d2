package ledgearch.recovery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The recovery from lost zones, as `GET /metrics` and the command line's status show it. */
@Serializable
internal data class RecoveryReport(
    val zones: List<ZoneReport>,
    /** Tasks that a lost zone displaced and that wait to be started again, by group. */
    val displaced: Map<String, Int>,
    /** Zones lost since this controller leads. */
    @SerialName("zones_lost") val zonesLost: Long,
)

/** One zone's state. */
@Serializable
internal data class ZoneReport(
    val zone: String,
    val state: String,
    val why: String,
    @SerialName("for_ms") val forMs: Long,
    val penalty: Double,
    @SerialName("admitted_share") val admittedShare: Double,
)
