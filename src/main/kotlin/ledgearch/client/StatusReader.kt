package ledgearch.client

import kotlinx.serialization.SerializationException
import ledgearch.http.HttpClient
import ledgearch.http.HttpStatus
import ledgearch.status.MetricsReport
import ledgearch.wire.WireJson

/** Reads the status of controllers with `GET /metrics`; each request has a timeout. */
internal class StatusReader(
    private val client: HttpClient,
) {
    /** Returns the status of the controller at [address] (HOST:PORT); never throws. */
    suspend fun read(address: String): ControllerStatus {
        val reply = client.call(address, "GET", "/metrics", null, ClientTuning.RESPONSE_TIMEOUT_MS)
        if (reply.status != HttpStatus.OK) return ControllerStatus.Unavailable
        return try {
            ControllerStatus.Available(WireJson.decodeFromString(MetricsReport.serializer(), reply.body))
        } catch (_: SerializationException) {
            ControllerStatus.Unavailable
        }
    }
}
