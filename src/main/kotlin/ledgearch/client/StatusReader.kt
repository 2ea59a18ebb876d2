package ledgearch.client

import kotlinx.serialization.SerializationException
import ledgearch.http.HttpClient
import ledgearch.http.HttpStatus
import ledgearch.status.MetricsReport
import ledgearch.wire.WireJson

/** Asks controllers for their status by `GET /metrics`; each question has a time limit. */
internal class StatusReader(
    private val client: HttpClient,
) {
    /** The status of the controller at [address] (HOST:PORT); never throws. */
    suspend fun read(address: String): ControllerStatus {
        val reply = client.call(address, "GET", "/metrics", null, ClientTuning.ANSWER_MS)
        if (reply.status != HttpStatus.OK) return ControllerStatus.NoAnswer
        return try {
            ControllerStatus.Answered(WireJson.decodeFromString(MetricsReport.serializer(), reply.body))
        } catch (_: SerializationException) {
            ControllerStatus.NoAnswer
        }
    }
}
