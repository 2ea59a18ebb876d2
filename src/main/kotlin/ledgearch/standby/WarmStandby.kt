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
    snapshot: LeaderSnapshot,
) {
    private val streamPublisher = StreamPublisher(mesh, clock, processorShare, snapshot)
    private val streamFollower = StreamFollower(node, mesh, clock)

    /** Log of the stream that this node publishes while it is the leader. */
    val streamLog: StreamLog get() = streamPublisher.streamLog

    /** Replica that this node holds while it is a follower. */
    val replica: Replica get() = streamFollower.replica

    /** Begins a [term] of this node as leader and returns the hints of its replica, or null without a usable one. */
    fun begin(term: Long): FailoverHints? {
        streamPublisher.beginTerm(term)
        return streamFollower.takeHints(term)
    }

    /** Ends the term of this node as leader. */
    fun end() = streamPublisher.endTerm()

    /** Records that the leadership record is now [leadership], written at [modRevision]; null without a leader. */
    fun leadershipChanged(
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

    /** Sends the stream frames that are due; [leading]: whether this node is the leader and has read all records. */
    fun runDueWork(leading: Boolean) {
        if (leading) streamPublisher.runDueWork()
    }

    /**
     * Returns the part of the claim delay that depends on the replica's lag. Together with the random part, the delay is
     * at most [ElectionTuning.MAX_CLAIM_DELAY_MS], as without standby.
     */
    fun headStartMs(): Long = streamFollower.replicaLagDelayMs()

    /** Returns the state for `GET /metrics`; [leading]: whether this node is the leader. */
    fun report(leading: Boolean): StandbyReport =
        StandbyReport(
            role = if (leading) StandbyReport.LEADER else StandbyReport.FOLLOWER,
            term = if (leading) streamLog.term else replica.term,
            sequence = if (leading) streamLog.sequence else replica.sequence,
            recordsHeld = if (leading) streamLog.records.size else replica.records.size,
            recordsBehind = if (leading) streamLog.longestBacklog else replica.remainingRecords,
            msBehind = if (leading) 0 else streamFollower.lagMs ?: StandbyReport.NO_REPLICA,
            followers = streamLog.followers.size,
            snapshotsSent = streamLog.snapshotsSent,
            streamsDropped = streamPublisher.streamsDropped,
            replicasDropped = streamFollower.replicasDropped,
            bytesSent = streamPublisher.bytesSent,
            changesSent = streamLog.changes,
        )
}
