package ledgearch.cli

import ledgearch.control.OwnerCommand
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MeshListener
import ledgearch.peers.StandbyEvent

/** Passes events of the mesh to the owner; suspends the connections while the owner's queue is full. */
internal class OwnerMeshListener(
    private val queue: OwnerQueue,
) : MeshListener {
    override suspend fun onStatusReceived(status: LeaderStatus) = queue.put(OwnerCommand.ApplyLeaderStatus(status))

    override suspend fun onStandbyEvent(event: StandbyEvent) = queue.put(OwnerCommand.HandleStandbyEvent(event))

    override suspend fun onConnectionRefused(address: String) = queue.put(OwnerCommand.HandlePeerRefusal(address))
}
