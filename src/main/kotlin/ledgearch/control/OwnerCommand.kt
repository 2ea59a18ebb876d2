package ledgearch.control

import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.peers.LeaderStatus
import ledgearch.peers.StandbyEvent

/** A command for the owner of the state, see [Controller]; the commands of a batch are executed in order. */
internal sealed interface OwnerCommand {
    /** Serves an HTTP [request]; [respond] is called exactly once, in this batch or a later one. */
    class ServeRequest(
        val request: Request,
        val respond: (Response) -> Unit,
    ) : OwnerCommand

    /** Applies the [status] that the leader published to this node. */
    class ApplyLeaderStatus(
        val status: LeaderStatus,
    ) : OwnerCommand

    /** Handles an [event] of the decision stream between the leader and a standby. */
    class HandleStandbyEvent(
        val event: StandbyEvent,
    ) : OwnerCommand

    /** Reports that the controller at the mesh [address] refuses new connections after an existing one ended. */
    class HandlePeerRefusal(
        val address: String,
    ) : OwnerCommand

    /** Triggers the work that is due by time; [queuedAtMs] is the steady time at which the tick was queued. */
    class Tick(
        val queuedAtMs: Long,
    ) : OwnerCommand

    /** Passes the [reply] to a call of the transport to its callback [onReply]. */
    class HandleReply(
        val reply: Reply,
        val onReply: (Reply) -> Unit,
    ) : OwnerCommand
}
