package ledgearch.simulation.invariants

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamRecord
import ledgearch.simulation.Simulation
import ledgearch.standby.WarmStandby

/** A replica that says it is current equals the leader's state at the same term and sequence number. */
internal class ReplicaInvariant(
    private val simulation: Simulation,
) {
    /** Which state of a leader: the [sequence] number within its [term]. */
    private data class Version(
        val term: Long,
        val sequence: Long,
    )

    private val leaderStates = HashMap<Version, Map<RecordKey, StreamRecord>>()

    /** Comparisons made. */
    var compared = 0
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
        if (!replica.isCurrent || simulation.streams.isCorrupted) return
        val expected = leaderStates[Version(replica.term, replica.sequence)] ?: return
        compared++
        if (replica.records != expected) {
            simulation.invariants.violations.add(
                "$node: the replica of term ${replica.term} differs at ${replica.sequence}",
            )
        }
    }
}
