package ledgearch.standby

import ledgearch.election.ElectionTuning
import ledgearch.peers.Mesh
import ledgearch.peers.StandbyEvent
import ledgearch.records.LeadershipRecord
import ledgearch.runtime.Clock
import org.slf4j.LoggerFactory

/** The follower's side of warm standby: keeps a replica of the leader's state and uses it at a failover. */
internal class StreamFollower(
    node: String,
    private val mesh: Mesh,
    private val clock: Clock,
) {
    private val log = LoggerFactory.getLogger("ledgearch.standby")
    private val previousTerm = PreviousTerm(node)

    /** Steady-clock ms of the last frame after which the replica equalled the leader's state. */
    private var lastCurrentAtMs = Long.MIN_VALUE

    /** Replica of the state of the leader that this node follows, or followed last. */
    val replica = Replica(StandbyTuning.MAX_REPLICA_BYTES)

    /** Number of replicas dropped because a frame could not be applied. */
    var replicasDropped = 0L
        private set

    /** Time since the replica last equalled the leader's state; null without a whole snapshot. */
    val lagMs: Long? get() = if (replica.hasSnapshot) clock.steadyMs - lastCurrentAtMs else null

    /**
     * Drops the replica as this node becomes leader with the [term], and returns its hints, or null if it is not of the
     * previous term.
     */
    fun takeHints(term: Long): FailoverHints? {
        val isUsable = replica.isPresent && previousTerm.mayBe(replica.term)
        val hints = if (isUsable) FailoverHints(replica.records.values) else null
        log.info(
            "failover: standby replica read; term={} replicaMachines={} replicaTerm={} recordsBehind={} msBehind={}",
            term,
            hints?.machineCount ?: 0,
            replica.term,
            replica.remainingRecords,
            lagMs ?: StandbyReport.NO_REPLICA,
        )
        replica.clear()
        return hints
    }

    /** Records that the leadership record is now [leadership], written at [modRevision]. */
    fun onLeadershipChanged(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ) {
        if (!previousTerm.onLeadershipChanged(leadership, modRevision)) return
        // The replica of an earlier leader is obsolete; the stream of the new one begins with a snapshot.
        if (replica.isPresent && !previousTerm.mayBe(replica.term)) replica.clear()
    }

    /** Applies a frame received from the leader; one of an earlier leader's term is ignored. */
    fun receive(event: StandbyEvent.FrameReceived) {
        val frame = event.frame
        if (!previousTerm.mayBe(frame.term)) return
        val hadSnapshot = replica.hasSnapshot
        when (val result = replica.apply(frame)) {
            ApplyResult.Applied -> {
                recordApplied(hadSnapshot)
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

    private fun recordApplied(hadSnapshot: Boolean) {
        if (replica.isCurrent) lastCurrentAtMs = clock.steadyMs
        if (replica.hasSnapshot && !hadSnapshot) {
            log.info("replica snapshot of {} records is complete; term={}", replica.records.size, replica.term)
        }
    }

    /**
     * Returns the part of the claim delay that grows with the replica's lag, up to
     * [ElectionTuning.MAX_REPLICA_LAG_DELAY_MS], which also applies without a whole snapshot.
     */
    fun replicaLagDelayMs(): Long {
        val currentLagMs = lagMs ?: return ElectionTuning.MAX_REPLICA_LAG_DELAY_MS
        return ElectionTuning.MAX_REPLICA_LAG_DELAY_MS * minOf(currentLagMs, StandbyTuning.LAG_OF_MAX_DELAY_MS) /
            StandbyTuning.LAG_OF_MAX_DELAY_MS
    }
}
