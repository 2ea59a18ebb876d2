package ledgearch.simulation.invariants

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamRecord
import ledgearch.simulation.Simulation
import ledgearch.standby.WarmStandby

/** Checks that a replica marked as current equals the leader's state at the same term and sequence number. */
internal class ReplicaInvariant(
    private val simulation: Simulation,
) {
    /** A version of the state: the [sequence] number within the leader's [term]. */
    private data class Version(
        val term: Long,
        val sequence: Long,
    )

    private val leaderStates = HashMap<Version, Map<RecordKey, StreamRecord>>()

    /** Number of comparisons made. */
    var comparisonCount = 0
        private set

    fun check(
        node: String,
        standby: WarmStandby,
    ) {
        val log = standby.streamLog
        if (log.term != 0L && log.sequence != 0L && log.records.isNotEmpty()) {
            leaderStates.putIfAbsent(Version(log.term, log.sequence), log.records)
        }
        val replica = standby.replica
        if (!replica.isCurrent || simulation.streams.hasCorruptedFrames) return
        val expected = leaderStates[Version(replica.term, replica.sequence)] ?: return
        comparisonCount++
        if (replica.records != expected) {
            simulation.invariants.violations.add(
                "$node: the replica of term ${replica.term} differs at sequence ${replica.sequence}",
            )
        }
    }
}
