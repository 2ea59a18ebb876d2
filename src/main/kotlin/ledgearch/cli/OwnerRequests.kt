package ledgearch.cli

import ledgearch.control.OwnerCommand
import ledgearch.http.Request
import ledgearch.http.Response

/** Passes requests that came in to the owner; [tooBusy] answers those for which its queue has no room. */
internal class OwnerRequests(
    private val queue: OwnerQueue,
    private val tooBusy: Response,
) {
    /** The owner's response to [request]; suspends until it is given. */
    suspend fun respond(request: Request): Response {
        val response = PendingResponse()
        val command = OwnerCommand.Serve(request, response::complete)
        if (request.path in FIRST) {
            queue.put(command)
        } else if (!queue.offer(command)) {
            return tooBusy
        }
        return response.await()
    }

    companion object {
        /** Where workers send their heartbeats. */
        const val HEARTBEAT_PATH = "/checkin"

        /** Where the load balancer checks the health of a controller. */
        private const val HEALTH_PATH = "/up"

        /** What must not wait behind users: workers' leases hang on it, and the load balancer's patience. */
        private val FIRST = setOf(HEARTBEAT_PATH, HEALTH_PATH)
    }
}
