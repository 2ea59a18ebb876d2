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

/** Routes HTTP requests by their path to those who answer them, and measures how long the answers take. */
internal class RequestRouter(
    private val healthCheck: HealthCheck,
    private val heartbeats: HeartbeatEndpoint,
    private val metricsSource: MetricsSource,
    private val userApi: UserApi,
    private val metrics: Metrics,
    private val clock: Clock,
) {
    /** Answers [request] by [respond], at once or when its answer is known. */
    fun handle(
        request: Request,
        respond: Respond,
    ) {
        val isHeartbeat = request.path == HEARTBEAT_PATH
        metrics.spend(if (isHeartbeat) "heartbeats" else "requests") {
            when (request.path) {
                HEALTH_PATH -> respond(health())
                HEARTBEAT_PATH -> heartbeat(request, respond)
                METRICS_PATH -> respond(metricsReport())
                else -> userApi.handle(request, measured(UserApi.kind(request), respond))
            }
        }
    }

    private fun health() =
        if (healthCheck.isHealthy()) {
            Response(HttpStatus.OK, "{}")
        } else {
            errorResponse(HttpStatus.UNAVAILABLE, "not ready")
        }

    private fun heartbeat(
        request: Request,
        respond: Respond,
    ) {
        if (request.method == "POST") {
            val respondMeasured = measured("heartbeat", respond)
            respondMeasured(heartbeats.answer(request))
        } else {
            respond(errorResponse(HttpStatus.METHOD_NOT_ALLOWED, "use POST"))
        }
    }

    private fun metricsReport() =
        Response(HttpStatus.OK, WireJson.encodeToString(MetricsReport.serializer(), metricsSource.report()))

    private fun measured(
        what: String,
        respond: Respond,
    ): Respond {
        val startedAt = clock.steadyMs
        return {
            metrics.answered(what, it.status, startedAt)
            respond(it)
        }
    }

    companion object {
        /** Where the load balancer checks the health of a controller. */
        const val HEALTH_PATH = "/up"

        /** Where workers send their heartbeats. */
        const val HEARTBEAT_PATH = "/checkin"
        private const val METRICS_PATH = "/metrics"
    }
}
