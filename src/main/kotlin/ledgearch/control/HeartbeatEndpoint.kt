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

/** Handles heartbeats over HTTP: the leader replies with commands, every other node with a redirect to the leader. */
internal class HeartbeatEndpoint(
    private val node: String,
    private val election: Election,
    private val jobStore: JobStore,
    private val leader: Leader,
) {
    /** Returns the response to the heartbeat in [request]. */
    fun handle(request: Request): Response {
        if (!election.isLeader) return redirect()
        val heartbeat =
            parse(request.body) ?: return errorResponse(HttpStatus.BAD_REQUEST, "the body is not a valid heartbeat")
        return when (val result = leader.handle(heartbeat)) {
            HeartbeatResult.NotLeader -> redirect()
            HeartbeatResult.Disregarded -> reply(HeartbeatReply(token = null, emptyList()))
            is HeartbeatResult.Accepted -> reply(HeartbeatReply(election.token, result.commands))
        }
    }

    private fun reply(reply: HeartbeatReply) =
        Response(HttpStatus.OK, WireJson.encodeToString(HeartbeatReply.serializer(), reply))

    /** Returns the heartbeat in [body], or null when it is not valid; the exception would only repeat the body. */
    @Suppress("SwallowedException")
    private fun parse(body: String): Heartbeat? =
        try {
            WireJson.decodeFromString(Heartbeat.serializer(), body)
        } catch (e: IllegalArgumentException) {
            null
        }

    private fun redirect(): Response {
        val leaderNode = jobStore.leadership?.node
        if (leaderNode == null || leaderNode == node) return errorResponse(HttpStatus.UNAVAILABLE, "no leader is known")
        val body = WireJson.encodeToString(Redirect.serializer(), Redirect(leaderNode))
        return Response(HttpStatus.MISDIRECTED, body)
    }
}
