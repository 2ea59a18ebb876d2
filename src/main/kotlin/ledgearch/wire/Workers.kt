package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One task on a machine, as its worker tells it. */
@Serializable
data class PortionReport(
    val portion: String,
    @SerialName("try")
    val attempt: Long,
    val status: String,
    val cause: String? = null,
    val saved: Boolean = false,
)

/** A worker's report, also the body of the answers of `/orders` and `/show`. */
@Serializable
data class CheckIn(
    @SerialName("stove") val machine: String,
    val endpoint: String,
    val rack: String,
    @SerialName("hall") val zone: String,
    val borrowed: Boolean = false,
    @SerialName("shift") val session: Long,
    @SerialName("ticket") val sequence: Long,
    @SerialName("baton")
    val token: Long = 0,
    val recallS: Double? = null,
    val portions: List<PortionReport> = emptyList(),
)

@Serializable
data class Order(
    val verb: String,
    val portion: String,
    @SerialName("try")
    val attempt: Long,
    val cooldownS: Double? = null,
)

@Serializable
data class CheckInReply(
    @SerialName("baton")
    val token: Long,
    val orders: List<Order>,
)

@Serializable
data class OrdersRequest(
    @SerialName("baton")
    val token: Long,
    @SerialName("shift") val session: Long,
    val orders: List<Order>,
)

@Serializable
data class Misdirected(
    val chef: String? = null,
)

object Verbs {
    const val START = "start"
    const val HALT = "halt"
    const val CLEAR = "clear"
}

object PortionStates {
    const val FETCHING = "fetching"
    const val RUNNING = "running"
    const val SAVING = "saving"
    const val EXITED = "exited"
}

object Causes {
    const val DONE = "done"
    const val HALTED = "halted"
    const val ERROR = "error"
    const val FULL = "full"
    const val BUSY = "busy"
    const val UNKNOWN = "unknown"
}
