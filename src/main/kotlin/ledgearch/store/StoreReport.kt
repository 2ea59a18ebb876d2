package ledgearch.store

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** This node's requests to the state service and its share of the rate limits. */
@Serializable
internal data class StoreReport(
    /** Whether the service has refused this node and has not served it since. */
    val refused: Boolean,
    /** Whether the announced lower rate limits are used, because a rate limit was exceeded. */
    @SerialName("lower_limits") val lowerLimits: Boolean,
    /** Requests per second that this node allows itself. */
    @SerialName("requests_per_s") val requestsPerS: Double,
    /** Changes per second that this node allows itself. */
    @SerialName("changes_per_s") val changesPerS: Double,
    /** How often a request was passed over although it could be sent; not 0 is a defect. */
    @SerialName("passed_over") val passedOver: Long,
    /** The queued requests by lane, for each lane with any. */
    val queued: Map<String, QueueReport>,
)

/** Requests that wait until the budget allows them. */
@Serializable
internal data class QueueReport(
    /** Number of requests. */
    val count: Int,
    /** Age of the oldest one in ms. */
    @SerialName("oldest_ms") val oldestMs: Long,
)
