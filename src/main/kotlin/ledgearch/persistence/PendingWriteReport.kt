package ledgearch.persistence

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Writes of one kind that are not durable yet. */
@Serializable
internal data class PendingWriteReport(
    /** Their number. */
    val waiting: Int,
    /** Age in ms of the oldest. */
    @SerialName("oldest_ms") val oldestMs: Long,
) {
    companion object {
        /** Returns the report at [nowMs] on writes that wait since [sinceMs]. */
        fun of(
            sinceMs: List<Long>,
            nowMs: Long,
        ) = PendingWriteReport(sinceMs.size, nowMs - (sinceMs.minOrNull() ?: nowMs))
    }
}
