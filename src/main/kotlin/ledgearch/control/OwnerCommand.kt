package ledgearch.control

import ledgearch.http.Reply
import ledgearch.http.Request
import ledgearch.http.Response
import ledgearch.peers.LeaderStatus
import ledgearch.peers.StandbyEvent

/** What the owner is asked to do; the commands of a batch are carried out in their order. */
internal sealed interface OwnerCommand {
    /** Answer an HTTP request: [respond] is called once, at once or in a later batch. */
    class Serve(
        val request: Request,
        val respond: (Response) -> Unit,
    ) : OwnerCommand

    /** The leader has published its status to this node. */
    class LeaderStatusReceived(
        val status: LeaderStatus,
    ) : OwnerCommand

    /** Something has happened on a decision stream between the leader and a standby. */
    class Standby(
        val event: StandbyEvent,
    ) : OwnerCommand

    /** The controller at this mesh address refuses connections after one of its own ended. */
    class PeerRefused(
        val address: String,
    ) : OwnerCommand

    /** Time has passed; [queuedAt]: when this was queued (steady ms). */
    class Tick(
        val queuedAt: Long,
    ) : OwnerCommand

    /** A call of the transport has ended with [reply], which [done] is waiting for. */
    class Answered(
        val reply: Reply,
        val done: (Reply) -> Unit,
    ) : OwnerCommand
}
