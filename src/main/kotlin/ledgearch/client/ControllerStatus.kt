package ledgearch.client

import kotlinx.serialization.SerializationException
import ledgearch.http.HttpClient
import ledgearch.status.MetricsReport
import ledgearch.wire.WireJson

/** What one controller answered when it was asked how it is. */
internal sealed interface ControllerStatus {
    data class Answered(
        val report: MetricsReport,
    ) : ControllerStatus

    /** Nobody answered within the time, or not as a controller does. */
    data object NoAnswer : ControllerStatus
}

/** Asks controllers for their status by `GET /metrics`; each question has a time limit. */
internal class StatusReader(
    private val client: HttpClient,
) {
    suspend fun read(address: String): ControllerStatus {
        val reply = client.call(address, "GET", "/metrics", null, ANSWER_MS)
        if (reply.status != OK) return ControllerStatus.NoAnswer
        return try {
            ControllerStatus.Answered(WireJson.decodeFromString(MetricsReport.serializer(), reply.body))
        } catch (_: SerializationException) {
            ControllerStatus.NoAnswer
        }
    }

    private companion object {
        const val OK = 200

        /** ms. A controller that is behind with its work answers within a few seconds. */
        const val ANSWER_MS = 5_000L
    }
}
