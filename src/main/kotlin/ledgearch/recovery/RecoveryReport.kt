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

/** The state of one zone, as `GET /metrics` and the command line's status show it. */
@Serializable
internal data class ZoneReport(
    val zone: String,
    /** The name of a [ZoneState] in lower case. */
    val state: String,
    /** Why it is in this state, for people. */
    val why: String,
    /** ms since it is in this state. */
    @SerialName("for_ms") val forMs: Long,
    /** Losses, less what has decayed. */
    val penalty: Double,
    /** Share of its machines that may take new work. */
    @SerialName("admitted_share") val admittedShare: Double,
)
