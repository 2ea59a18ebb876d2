package ledgearch.control

import ledgearch.api.errorResponse
import ledgearch.election.Election
import ledgearch.http.HttpStatus
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.jobs.JobStore
import ledgearch.wire.Heartbeat
import ledgearch.wire.HeartbeatReply
import ledgearch.wire.Redirect
import ledgearch.wire.WireJson

/** The HTTP side of heartbeats: commands from the leader, the leader's name from every other node. */
internal class HeartbeatEndpoint(
    private val node: String,
    private val election: Election,
    private val jobStore: JobStore,
    private val leader: Leader,
) {
    /** The answer to the heartbeat in [request]. */
    fun answer(request: Request): Response {
        if (!election.isLeader) return redirect()
        val heartbeat = parse(request.body) ?: return errorResponse(HttpStatus.BAD_REQUEST, "not a report")
        val result = leader.handle(heartbeat)
        if (result.isNotLeader) return redirect()
        val reply = HeartbeatReply(election.token, result.commands)
        return Response(HttpStatus.OK, WireJson.encodeToString(HeartbeatReply.serializer(), reply))
    }

    /** Null when [body] is no heartbeat; the sender is told so, and the cause would only repeat what it sent. */
    @Suppress("SwallowedException")
    private fun parse(body: String): Heartbeat? =
        try {
            WireJson.decodeFromString(Heartbeat.serializer(), body)
        } catch (e: IllegalArgumentException) {
            null
        }

    private fun redirect(): Response {
        val other = jobStore.leadership?.node
        if (other == null || other == node) return errorResponse(HttpStatus.UNAVAILABLE, "no leader is known")
        val body = WireJson.encodeToString(Redirect.serializer(), Redirect(other))
        return Response(HttpStatus.MISDIRECTED, body)
    }
}
