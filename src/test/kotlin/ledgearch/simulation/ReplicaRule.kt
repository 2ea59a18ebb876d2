package ledgearch.simulation

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamRecord
import ledgearch.standby.WarmStandby

/** A replica that says it is current equals the leader's state at the same term and sequence number. */
internal class ReplicaRule(
    private val simulation: Simulation,
) {
    private val leaderStates = HashMap<Pair<Long, Long>, Map<RecordKey, StreamRecord>>()

    /** Comparisons made. */
    var compared = 0
        private set

    fun check(
        node: String,
        standby: WarmStandby,
    ) {
        val log = standby.streamLog
        if (log.term != 0L && log.sequence != 0L && log.records.isNotEmpty()) {
            leaderStates.putIfAbsent(log.term to log.sequence, log.records)
        }
        val replica = standby.replica
        if (!replica.isCurrent || simulation.streams.isNonsense) return
        val expected = leaderStates[replica.term to replica.sequence] ?: return
        compared++
        if (replica.records != expected) {
            simulation.rules.violations.add("$node: the replica of term ${replica.term} differs at ${replica.sequence}")
        }
    }
}
