package ledgearch.standby

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamFrame
import ledgearch.peers.StreamRecord

/** Result of applying a frame to a replica. */
internal sealed interface ApplyResult {
    /** The frame is part of the replica. */
    data object Applied : ApplyResult

    /** The frame can't be applied, and the replica was dropped; a new snapshot is needed. */
    data class Rejected(
        val reason: String,
    ) : ApplyResult
}

/**
 * The follower's copy of the leader's state, used only for hints. A replica that takes more than [maxBytes] of memory
 * is dropped.
 */
internal class Replica(
    private val maxBytes: Long,
) {
    private val recordsByKey = HashMap<RecordKey, StreamRecord>()
    private var memoryBytes = 0L

    /** The records of the replica by key. */
    val records: Map<RecordKey, StreamRecord> get() = recordsByKey

    /** Leadership term of the replica; 0 when the replica is empty. */
    var term = 0L
        private set

    /** Sequence number of the last applied frame within the term. */
    var sequence = 0L
        private set

    /** Number of changed records that the leader had not sent yet after the last applied frame. */
    var remainingRecords = 0
        private set

    /** Whether a whole snapshot was received; later changes may be missing. */
    var hasSnapshot = false
        private set

    /** Whether the replica contains at least one frame. */
    val isPresent: Boolean get() = term != 0L

    /** Whether the replica equals the leader's state at [sequence]. */
    val isCurrent: Boolean get() = hasSnapshot && remainingRecords == 0

    /** Drops the replica. */
    fun clear() {
        recordsByKey.clear()
        memoryBytes = 0
        term = 0
        sequence = 0
        remainingRecords = 0
        hasSnapshot = false
    }

    /** Applies [frame] if it continues the replica or begins a new one; otherwise drops the replica. */
    fun apply(frame: StreamFrame): ApplyResult {
        val rejectionReason = rejectionReasonOf(frame)
        if (rejectionReason != null) return reject(rejectionReason)
        if (frame.startsSnapshot) clear()
        term = frame.term
        sequence = frame.sequence
        remainingRecords = frame.remainingRecords
        frame.removedKeys.forEach(::remove)
        frame.records.forEach(::put)
        if (remainingRecords == 0) hasSnapshot = true
        if (memoryBytes > maxBytes) return reject("replica takes $memoryBytes bytes, at most $maxBytes allowed")
        return ApplyResult.Applied
    }

    /** Returns why [frame] can't be applied, or null if it can. */
    private fun rejectionReasonOf(frame: StreamFrame): String? =
        when {
            frame.term < term -> "frame of term ${frame.term} after term $term"
            frame.startsSnapshot -> null
            !isPresent -> "frame with sequence number ${frame.sequence} but no snapshot"
            frame.term != term -> "frame of term ${frame.term} but no snapshot of that term"
            frame.sequence != sequence + 1 -> "frame with sequence number ${frame.sequence} after $sequence"
            else -> null
        }

    private fun reject(reason: String): ApplyResult {
        clear()
        return ApplyResult.Rejected(reason)
    }

    private fun put(record: StreamRecord) {
        remove(record.key)
        recordsByKey[record.key] = record
        memoryBytes += record.memoryBytes
    }

    private fun remove(key: RecordKey) {
        val previous = recordsByKey.remove(key) ?: return
        memoryBytes -= previous.memoryBytes
    }
}
