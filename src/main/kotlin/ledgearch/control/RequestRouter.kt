package ledgearch.control

import ledgearch.api.Respond
import ledgearch.api.UserApi
import ledgearch.api.errorResponse
import ledgearch.http.HttpStatus
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.runtime.Clock
import ledgearch.runtime.Metrics
import ledgearch.status.MetricsReport
import ledgearch.wire.WireJson

/** Routes HTTP requests to their handlers by path, and measures the latency of the responses. */
internal class RequestRouter(
    private val healthCheck: HealthCheck,
    private val heartbeatEndpoint: HeartbeatEndpoint,
    private val metricsSource: MetricsSource,
    private val userApi: UserApi,
    private val metrics: Metrics,
    private val clock: Clock,
) {
    /** Handles [request]; [respond] is called at once or later, when the response is known. */
    fun handle(
        request: Request,
        respond: Respond,
    ) {
        val isHeartbeat = request.path == HEARTBEAT_PATH
        metrics.measure(if (isHeartbeat) "heartbeats" else "requests") {
            when (request.path) {
                HEALTH_PATH -> respond(healthResponse())
                HEARTBEAT_PATH -> handleHeartbeat(request, respond)
                METRICS_PATH -> respond(metricsResponse())
                else -> userApi.handle(request, recordingLatency(UserApi.requestKind(request), respond))
            }
        }
    }

    private fun healthResponse() =
        if (healthCheck.isHealthy()) {
            Response(HttpStatus.OK, "{}")
        } else {
            errorResponse(HttpStatus.UNAVAILABLE, "the node is not ready")
        }

    private fun handleHeartbeat(
        request: Request,
        respond: Respond,
    ) {
        if (request.method == "POST") {
            val respondMeasured = recordingLatency("heartbeat", respond)
            respondMeasured(heartbeatEndpoint.handle(request))
        } else {
            respond(errorResponse(HttpStatus.METHOD_NOT_ALLOWED, "method not allowed, use POST"))
        }
    }

    private fun metricsResponse() =
        Response(HttpStatus.OK, WireJson.encodeToString(MetricsReport.serializer(), metricsSource.report()))

    private fun recordingLatency(
        requestKind: String,
        respond: Respond,
    ): Respond {
        val startedAtMs = clock.steadyMs
        return {
            metrics.recordExchange(requestKind, it.status, startedAtMs)
            respond(it)
        }
    }

    companion object {
        /** Path of the load balancer's health checks. */
        const val HEALTH_PATH = "/up"

        /** Path of the agents' heartbeats. */
        const val HEARTBEAT_PATH = "/checkin"
        private const val METRICS_PATH = "/metrics"
    }
}
