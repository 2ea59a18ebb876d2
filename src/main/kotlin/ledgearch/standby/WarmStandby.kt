package ledgearch.standby

import ledgearch.election.ElectionTuning
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.records.LeadershipRecord
import ledgearch.runtime.Clock

/**
 * Warm standby: on the leader it streams the state to the followers that asked for it, elsewhere it keeps a replica of
 * the leader's. Run by the owner alone.
 */
internal class WarmStandby(
    node: String,
    mesh: Mesh,
    clock: Clock,
    processorShare: Double,
    snapshot: LeaderSnapshot,
) {
    private val publisher = StreamPublisher(mesh, clock, processorShare, snapshot)
    private val follower = ReplicaFollower(node, mesh, clock)

    /** The log of the stream that this node publishes while it leads. */
    val streamLog: StreamLog get() = publisher.streamLog

    /** The replica that this node holds while it follows. */
    val replica: Replica get() = follower.replica

    /** This node leads under the new [term]. Returns what its replica suggests, or null without a fitting one. */
    fun begin(term: Long): FailoverHints? {
        publisher.begin(term)
        return follower.takeOver(term)
    }

    /** This node leads no more. */
    fun end() = publisher.end()

    /** The leadership record is now [leadership], written at [modRevision]; null: nobody leads. */
    fun leadershipChanged(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ) = follower.leadershipChanged(leadership, modRevision)

    /** Takes an event of a decision stream. A frame counts only if it comes from [leaderAddress], the leader's. */
    fun handle(
        event: StandbyEvent,
        leaderAddress: String?,
    ) {
        when (event) {
            is StandbyEvent.FollowerJoined -> publisher.join(event.follower)
            is StandbyEvent.FollowerLeft -> publisher.leave(event.follower)
            is StandbyEvent.FrameReceived -> if (event.address == leaderAddress) follower.receive(event)
        }
    }

    /** Streams the changes since the last interval; [leading]: this node leads and has read the records. */
    fun runDueWork(leading: Boolean) {
        if (leading) publisher.runDueWork()
    }

    /**
     * How long this node waits before it claims a free leadership record (ms), beside the random part of the wait. The
     * longest wait is [ElectionTuning.MAX_CLAIM_DELAY_MS], as without standby.
     */
    fun headStartMs(): Long = follower.headStartMs()

    /** The present state for `GET /metrics`; [leading]: this node leads. */
    fun report(leading: Boolean): StandbyReport =
        StandbyReport(
            role = if (leading) StandbyReport.LEADER else StandbyReport.FOLLOWER,
            term = if (leading) streamLog.term else replica.term,
            sequence = if (leading) streamLog.sequence else replica.sequence,
            recordsHeld = if (leading) streamLog.records.size else replica.records.size,
            recordsBehind = if (leading) streamLog.longestBacklog else replica.remaining,
            msBehind = if (leading) 0 else follower.lagMs ?: StandbyReport.NO_REPLICA,
            followers = streamLog.followers.size,
            snapshotsSent = streamLog.snapshotsSent,
            streamsDropped = publisher.streamsDropped,
            replicasDropped = follower.replicasDropped,
            bytesSent = publisher.bytesSent,
            changesSent = streamLog.changes,
        )
}
