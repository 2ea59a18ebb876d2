package ledgearch.peers

/** Takes the events on the connections between controllers; frames in the order in which their leader sent them. */
internal interface MeshEvents {
    /** The leader that this node follows has published its status. */
    suspend fun statusReceived(status: LeaderStatus)

    /** Something has happened to a decision stream; only where warm standby is on. */
    suspend fun standby(event: StandbyEvent)

    /** The connection to [address] ended and new ones are refused: most likely its process has ended. */
    suspend fun refused(address: String)
}
