package ledgearch.standby

import ledgearch.election.ElectionTuning
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.records.LeadershipRecord
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** The follower's side of warm standby: keeps a replica of the leader's state, and uses it at a failover. */
internal class ReplicaFollower(
    node: String,
    private val mesh: Mesh,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.standby")
    private val previousTerm = PreviousTerm(node)

    /** Steady ms of the last frame that left the replica equal to the leader's state. */
    private var currentAt = Long.MIN_VALUE

    /** The replica of the leader that this node follows, or followed last. */
    val replica = Replica(StandbyTuning.REPLICA_BYTES)

    /** Replicas dropped since a frame did not continue them. */
    var replicasDropped = 0L
        private set

    /** Time since the replica last equalled the leader's state (ms); null when no whole one is held. */
    val lagMs: Long? get() = if (replica.hasSnapshot) clock.steadyMs - currentAt else null

    /**
     * This node leads under the new [term]. Returns what its replica suggests, or null when there is none of the term
     * that was replaced; the replica is dropped.
     */
    fun takeOver(term: Long): FailoverHints? {
        val isUsable = replica.isHeld && previousTerm.mayBe(replica.term)
        val hints = if (isUsable) FailoverHints(replica.records.values) else null
        log.info(
            "failover with a replica; term={} replicaMachines={} replicaTerm={} recordsBehind={} msBehind={}",
            term,
            hints?.machineCount ?: 0,
            replica.term,
            replica.remaining,
            lagMs ?: StandbyReport.NO_REPLICA,
        )
        replica.clear()
        return hints
    }

    /** The leadership record is now [leadership], written at [modRevision]. */
    fun leadershipChanged(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ) {
        if (!previousTerm.changed(leadership, modRevision)) return
        // The replica is of an earlier leader: a later stream begins with a snapshot of its own.
        if (replica.isHeld && !previousTerm.mayBe(replica.term)) replica.clear()
    }

    /** A frame arrived from the leader. One of an earlier leader's term is dropped. */
    fun receive(event: StandbyEvent.FrameReceived) {
        val frame = event.frame
        if (!previousTerm.mayBe(frame.term)) return
        val hadSnapshot = replica.hasSnapshot
        when (val result = replica.apply(frame)) {
            ApplyResult.Applied -> {
                applied(hadSnapshot)
            }

            is ApplyResult.Rejected -> {
                replicasDropped++
                log.warn(
                    "replica dropped, new snapshot requested: {}; address={} term={} sequence={}",
                    result.reason,
                    event.address,
                    frame.term,
                    frame.sequence,
                )
                mesh.reconnect()
            }
        }
    }

    private fun applied(hadSnapshot: Boolean) {
        if (replica.isCurrent) currentAt = clock.steadyMs
        if (replica.hasSnapshot && !hadSnapshot) {
            log.info("replica snapshot of {} records is complete; term={}", replica.records.size, replica.term)
        }
    }

    /**
     * How long this node waits before it claims a free leadership record (ms): the longer the replica's lag the longer,
     * at most [ElectionTuning.MAX_REPLICA_LAG_DELAY_MS], which a node without a whole replica waits.
     */
    fun headStartMs(): Long {
        val lag = lagMs ?: return ElectionTuning.MAX_REPLICA_LAG_DELAY_MS
        return ElectionTuning.MAX_REPLICA_LAG_DELAY_MS * minOf(lag, StandbyTuning.HEAD_START_LAG_MS) /
            StandbyTuning.HEAD_START_LAG_MS
    }
}
