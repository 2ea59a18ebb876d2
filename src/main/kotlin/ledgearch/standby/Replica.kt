package ledgearch.standby

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamFrame
import ledgearch.peers.StreamRecord

/** What became of a frame that was applied to a replica. */
internal sealed interface ApplyResult {
    /** The replica now includes the frame. */
    data object Applied : ApplyResult

    /** The frame does not continue the replica, which is dropped: a new snapshot is needed. */
    data class Rejected(
        val reason: String,
    ) : ApplyResult
}

/**
 * The follower's copy of the leader's state. It is a source of hints and proves nothing. [maxBytes]: a replica that
 * would take more memory is dropped.
 */
internal class Replica(
    private val maxBytes: Long,
) {
    private val held = HashMap<RecordKey, StreamRecord>()
    private var bytes = 0L

    /** The records held, by their identity. */
    val records: Map<RecordKey, StreamRecord> get() = held

    /** The leadership term that the replica is of; 0: nothing is held. */
    var term = 0L
        private set

    /** Sequence number of the last frame within the term. */
    var sequence = 0L
        private set

    /** Records that the leader had still to send when it sent the last frame. */
    var remaining = 0
        private set

    /** The whole snapshot has arrived; the stream may have run ahead since. */
    var hasSnapshot = false
        private set

    /** At least one frame is held. */
    val isHeld: Boolean get() = term != 0L

    /** The replica equals the leader's state at [sequence]. */
    val isCurrent: Boolean get() = hasSnapshot && remaining == 0

    /** Drops everything that is held. */
    fun clear() {
        held.clear()
        bytes = 0
        term = 0
        sequence = 0
        remaining = 0
        hasSnapshot = false
    }

    /** Applies [frame] if it continues the replica or begins a new one, and else drops the replica. */
    fun apply(frame: StreamFrame): ApplyResult {
        val fault = faultOf(frame)
        if (fault != null) return reject(fault)
        if (frame.first) clear()
        term = frame.term
        sequence = frame.sequence
        remaining = frame.remaining
        frame.removed.forEach(::remove)
        frame.records.forEach(::put)
        if (remaining == 0) hasSnapshot = true
        if (bytes > maxBytes) return reject("the replica would take more than $maxBytes bytes")
        return ApplyResult.Applied
    }

    /** Why [frame] does not continue the replica, or null. */
    private fun faultOf(frame: StreamFrame): String? =
        when {
            frame.term < term -> "term ${frame.term} after term $term"
            frame.first -> null
            !isHeld -> "sequence number ${frame.sequence} without a snapshot"
            frame.term != term -> "term ${frame.term} without a snapshot"
            frame.sequence != sequence + 1 -> "sequence number ${frame.sequence} after $sequence"
            else -> null
        }

    private fun reject(reason: String): ApplyResult {
        clear()
        return ApplyResult.Rejected(reason)
    }

    private fun put(record: StreamRecord) {
        remove(record.key)
        held[record.key] = record
        bytes += record.memoryBytes
    }

    private fun remove(key: RecordKey) {
        val old = held.remove(key) ?: return
        bytes -= old.memoryBytes
    }
}
