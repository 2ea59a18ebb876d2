package ledgearch.cli

import ledgearch.control.OwnerCommand
import ledgearch.control.RequestRouter
import ledgearch.http.Request
import ledgearch.http.Response

/**
 * Passes incoming requests to the owner. While the owner's queue is full, responds with [overloadResponse] and calls
 * [onOverload].
 */
internal class OwnerRequestHandler(
    private val queue: OwnerQueue,
    private val overloadResponse: Response,
    private val onOverload: () -> Unit,
) {
    /** Returns the owner's response to [request]; suspends until there is one. */
    suspend fun respond(request: Request): Response {
        val response = PendingResponse()
        val command = OwnerCommand.ServeRequest(request, response::complete)
        if (request.path in PRIORITY_PATHS) {
            queue.put(command)
        } else if (!queue.offerUserRequest(command)) {
            onOverload()
            return overloadResponse
        }
        return response.await()
    }

    private companion object {
        /** Requests that must not wait behind users': heartbeats renew workers' leases, and health checks time out. */
        val PRIORITY_PATHS = setOf(RequestRouter.HEARTBEAT_PATH, RequestRouter.HEALTH_PATH)
    }
}
