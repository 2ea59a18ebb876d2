package ledgearch.standby

import ledgearch.election.ElectionTuning
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.records.LeadershipRecord
import ledgearch.runtime.Clock

/**
 * Warm standby: the leader streams its state to the followers that requested it, and each of these keeps a replica.
 * Called only by the owner.
 */
internal class WarmStandby(
    node: String,
    mesh: Mesh,
    clock: Clock,
    processorShare: Double,
    stateReader: LeaderStateReader,
) {
    private val streamPublisher = StreamPublisher(mesh, clock, processorShare, stateReader)
    private val streamFollower = StreamFollower(node, mesh, clock)

    /** Log of the stream that this node publishes while it is the leader. */
    val streamLog: StreamLog get() = streamPublisher.streamLog

    /** Replica that this node holds while it is a follower. */
    val replica: Replica get() = streamFollower.replica

    /** Begins a [term] of this node as leader and returns the hints of its replica, or null without a usable one. */
    fun beginTerm(term: Long): FailoverHints? {
        streamPublisher.beginTerm(term)
        return streamFollower.takeHints(term)
    }

    /** Ends the term of this node as leader. */
    fun endTerm() = streamPublisher.endTerm()

    /** Records that the leadership record is now [leadership], written at [modRevision]; null without a leader. */
    fun onLeadershipChanged(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ) = streamFollower.onLeadershipChanged(leadership, modRevision)

    /** Handles an event of a replication stream. Frames are ignored unless they come from [leaderAddress]. */
    fun handle(
        event: StandbyEvent,
        leaderAddress: String?,
    ) {
        when (event) {
            is StandbyEvent.FollowerJoined -> streamPublisher.addFollower(event.followerId)
            is StandbyEvent.FollowerLeft -> streamPublisher.removeFollower(event.followerId)
            is StandbyEvent.FrameReceived -> if (event.address == leaderAddress) streamFollower.receive(event)
        }
    }

    /** Sends the stream frames that are due; [isReady]: whether this node is the leader and has read all records. */
    fun runDueWork(isReady: Boolean) {
        if (isReady) streamPublisher.runDueWork()
    }

    /**
     * Returns the part of the claim delay that depends on the replica's lag. Together with the random part, the delay
     * is at most [ElectionTuning.MAX_CLAIM_DELAY_MS], as without standby.
     */
    fun replicaLagDelayMs(): Long = streamFollower.replicaLagDelayMs()

    /** Returns the state for `GET /metrics`; [isLeader]: whether this node is the leader. */
    fun report(isLeader: Boolean): StandbyReport =
        StandbyReport(
            role = if (isLeader) StandbyReport.LEADER else StandbyReport.FOLLOWER,
            term = if (isLeader) streamLog.term else replica.term,
            sequence = if (isLeader) streamLog.sequence else replica.sequence,
            recordsHeld = if (isLeader) streamLog.records.size else replica.records.size,
            recordsBehind = if (isLeader) streamLog.longestBacklog else replica.remainingRecords,
            msBehind = if (isLeader) 0 else streamFollower.lagMs ?: StandbyReport.NO_REPLICA,
            followers = streamLog.followerIds.size,
            snapshotsSent = streamLog.snapshotsSent,
            streamsDropped = streamPublisher.streamsDropped,
            replicasDropped = streamFollower.replicasDropped,
            bytesSent = streamPublisher.bytesSent,
            changesSent = streamLog.changeCount,
        )
}
