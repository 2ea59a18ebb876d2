package ledgearch.recovery

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The recovery from lost zones as shown by `GET /metrics` and the `status` command. */
@Serializable
internal data class RecoveryReport(
    val zones: List<ZoneReport>,
    /** Number of displaced tasks that wait to be started again, by group. */
    val displaced: Map<String, Int>,
    /** Number of losses of zones since this controller became leader. */
    @SerialName("zones_lost") val zonesLost: Long,
)

/** The state of one zone as shown by `GET /metrics` and the `status` command. */
@Serializable
internal data class ZoneReport(
    val zone: String,
    /** The name of a [ZoneState] in lower case. */
    val state: String,
    /** The reason for the state, as text for operators. */
    val why: String,
    /** Time in this state in ms. */
    @SerialName("for_ms") val forMs: Long,
    /** The flap penalty in losses, which decays with time. */
    val penalty: Double,
    /** Share of its machines that get new tasks. */
    @SerialName("admitted_share") val admittedShare: Double,
)
