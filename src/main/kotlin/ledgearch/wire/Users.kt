package ledgearch.wire

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a user submits: one job of [portions] equal tasks. */
@Serializable
data class WorkRequest(
    val ref: String,
    @SerialName("menu") val jobClass: String,
    @SerialName("crew") val team: String,
    val shape: String,
    val urgency: String,
    val portions: Int,
    val vcpus: Double,
    val accelerators: Double = 0.0,
    val memoryGb: Double,
    val racks: List<String>? = null,
    @SerialName("hall") val zone: String? = null,
    val samePlace: Boolean = false,
    val apart: Boolean = false,
    val borrowed: Boolean = false,
    @SerialName("recipe") val image: String,
    val sizeGb: Double,
    val cookS: Double,
    val stirS: Double = 0.0,
    val plateS: Double = 0.0,
    val serveS: Double? = null,
    /** Ids of the jobs that must be done before any task of this one may start. */
    val awaits: List<String>? = null,
)

/** The state of a job as told to its user. */
@Serializable
data class WorkStatus(
    val ref: String,
    val status: String,
    val done: Int? = null,
    val running: Int? = null,
)

@Serializable
data class ErrorBody(
    val error: String,
)

object Shapes {
    const val SWEEP = "sweep"
    const val STANDING = "standing"
    val ALL = setOf(SWEEP, STANDING)
}

object Urgencies {
    /** From the most urgent to the least. */
    val ORDER = listOf("prod", "urgent", "normal", "best_effort")
}

object WorkStates {
    const val PENDING = "pending"
    const val RUNNING = "running"
    const val DONE = "done"
    const val WITHDRAWN = "withdrawn"
}
