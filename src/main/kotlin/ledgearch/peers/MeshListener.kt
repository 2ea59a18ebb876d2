package ledgearch.peers

/** Receives the events of the connections between controllers, frames in the order in which the leader sent them. */
internal interface MeshListener {
    /** Called when the leader that this node follows has published its [status]. */
    suspend fun onStatusReceived(status: LeaderStatus)

    /** Called on an [event] of a replication stream; only if warm standby is enabled. */
    suspend fun onStandbyEvent(event: StandbyEvent)

    /** Called when [address] repeatedly refuses connections, which most likely means that its process has ended. */
    suspend fun onConnectionRefused(address: String)
}
