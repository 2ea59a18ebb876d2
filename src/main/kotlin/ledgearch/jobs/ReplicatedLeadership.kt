package ledgearch.jobs

import kotlinx.serialization.json.JsonElement
import ledgearch.records.LeadershipRecord
import ledgearch.records.StepDownRecord
import ledgearch.records.decodeRecord
import ledgearch.runtime.Clock

/** This node's view of the leadership record, the former leaders and the last step-down. */
internal class ReplicatedLeadership(
    private val clock: Clock,
    private val listener: JobStoreListener,
) {
    /** The leadership record; null if there is none or it can't be decoded. */
    var record: LeadershipRecord? = null
        private set

    /** The revision of the leadership record, which is the leader's fencing token; 0 if there is no record. */
    var revision = 0L
        private set

    /** The record of the last leader that stepped down for lack of heartbeats; null if there is none. */
    var lastStepDown: StepDownRecord? = null
        private set

    /** For each node seen as leader, the steady-clock time at which this node saw its record replaced or removed. */
    private val leaderUntilMs = HashMap<String, Long>()

    /** Sets the leadership record to [value], written at [newRevision]; null and 0 if there is none. */
    fun set(
        value: JsonElement?,
        newRevision: Long,
    ) {
        if (newRevision == revision) return
        record?.let { leaderUntilMs[it.node] = clock.steadyMs }
        record = value?.let { decodeRecord(LeadershipRecord.serializer(), it) }
        revision = newRevision
        listener.onLeadershipChanged()
    }

    /** Sets the step-down record to [value]. */
    fun setLastStepDown(value: JsonElement?) {
        lastStepDown = decodeRecord(StepDownRecord.serializer(), value)
    }

    /** Returns the nodes except [excludedNode] that are leader or were within the last [withinMs]. */
    fun recentLeaders(
        excludedNode: String,
        withinMs: Long,
    ): Set<String> {
        val formerLeaders = leaderUntilMs.filterValues { clock.steadyMs - it < withinMs }.keys
        return (formerLeaders + setOfNotNull(record?.node)) - excludedNode
    }
}
