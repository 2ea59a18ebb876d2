package ledgearch.cli

import ledgearch.control.OwnerCommand
import ledgearch.control.RequestRouter
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
        val command = OwnerCommand.ServeRequest(request, response::complete)
        if (request.path in FIRST) {
            queue.put(command)
        } else if (!queue.offer(command)) {
            return tooBusy
        }
        return response.await()
    }

    private companion object {
        /** What must not wait behind users: workers' leases hang on it, and the load balancer's patience. */
        val FIRST = setOf(RequestRouter.HEARTBEAT_PATH, RequestRouter.HEALTH_PATH)
    }
}
