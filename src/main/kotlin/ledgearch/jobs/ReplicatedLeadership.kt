package ledgearch.jobs

import kotlinx.serialization.json.JsonElement
import ledgearch.records.LeadershipRecord
import ledgearch.records.StepDownRecord
import ledgearch.records.decodeRecord
import ledgearch.runtime.Clock

/** This node's view of the leadership record, of the leaders before and of the last step-down. */
internal class ReplicatedLeadership(
    private val clock: Clock,
    private val listener: JobStoreListener,
) {
    /** The leadership record; null when there is none, or none that can be read. */
    var record: LeadershipRecord? = null
        private set

    /** The revision of the leadership record, which is the leader's fencing token; 0 when it does not exist. */
    var revision = 0L
        private set

    /** The last time that a leader stepped down because it heard next to no machine; null when none is recorded. */
    var lastStepDown: StepDownRecord? = null
        private set

    /** By node, the steady ms until which it was leader, for those that this node has known as leaders before. */
    private val leaderUntil = HashMap<String, Long>()

    /** The leadership record is [value], written at [newRevision]; null and 0: there is none. */
    fun set(
        value: JsonElement?,
        newRevision: Long,
    ) {
        if (newRevision == revision) return
        record?.let { leaderUntil[it.node] = clock.steadyMs }
        record = value?.let { decodeRecord(LeadershipRecord.serializer(), it) }
        revision = newRevision
        listener.leadershipChanged()
    }

    /** The step-down record is [value]. */
    fun setLastStepDown(value: JsonElement?) {
        lastStepDown = decodeRecord(StepDownRecord.serializer(), value)
    }

    /** The nodes other than [node] that were leaders within the last [withinMs], or are. */
    fun recentLeaders(
        node: String,
        withinMs: Long,
    ): Set<String> {
        val formerLeaders = leaderUntil.filterValues { clock.steadyMs - it < withinMs }.keys
        return (formerLeaders + setOfNotNull(record?.node)) - node
    }
}
