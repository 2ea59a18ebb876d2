package ledgearch.cli

import ledgearch.control.OwnerCommand
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MeshListener
import ledgearch.peers.StandbyEvent

/** Passes what other controllers send to the owner; suspends their connections while its queue is full. */
internal class OwnerMeshEvents(
    private val queue: OwnerQueue,
) : MeshListener {
    override suspend fun onStatusReceived(status: LeaderStatus) = queue.put(OwnerCommand.ApplyLeaderStatus(status))

    override suspend fun onStandbyEvent(event: StandbyEvent) = queue.put(OwnerCommand.HandleStandbyEvent(event))

    override suspend fun onConnectionRefused(address: String) = queue.put(OwnerCommand.HandlePeerRefusal(address))
}
