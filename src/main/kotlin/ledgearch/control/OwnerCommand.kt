package ledgearch.control

import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.peers.LeaderStatus
import ledgearch.peers.StandbyEvent

/** A command for the owner; the commands of a batch are executed in order. */
internal sealed interface OwnerCommand {
    /** Serves an HTTP [request]; [respond] is called exactly once, in this batch or a later one. */
    class Serve(
        val request: Request,
        val respond: (Response) -> Unit,
    ) : OwnerCommand

    /** Applies the [status] that the leader published to this node. */
    class LeaderStatusReceived(
        val status: LeaderStatus,
    ) : OwnerCommand

    /** Handles an [event] of the decision stream between the leader and a standby. */
    class Standby(
        val event: StandbyEvent,
    ) : OwnerCommand

    /** Handles that the controller at the mesh [address] ended its connection and now refuses new ones. */
    class PeerRefused(
        val address: String,
    ) : OwnerCommand

    /** Triggers the work that is due by time; [queuedAt] is the steady time in ms at which the tick was queued. */
    class Tick(
        val queuedAt: Long,
    ) : OwnerCommand

    /** Passes the [reply] to a call of the transport to its callback [done]. */
    class Answered(
        val reply: Reply,
        val done: (Reply) -> Unit,
    ) : OwnerCommand
}
