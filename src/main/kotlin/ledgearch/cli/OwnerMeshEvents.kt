package ledgearch.cli

import ledgearch.control.OwnerCommand
import ledgearch.peers.LeaderStatus
import ledgearch.peers.MeshEvents
import ledgearch.peers.StandbyEvent

/** Passes what other controllers send to the owner; suspends their connections while its queue is full. */
internal class OwnerMeshEvents(
    private val queue: OwnerQueue,
) : MeshEvents {
    override suspend fun statusReceived(status: LeaderStatus) = queue.put(OwnerCommand.ApplyLeaderStatus(status))

    override suspend fun standby(event: StandbyEvent) = queue.put(OwnerCommand.HandleStandbyEvent(event))

    override suspend fun refused(address: String) = queue.put(OwnerCommand.HandlePeerRefusal(address))
}
