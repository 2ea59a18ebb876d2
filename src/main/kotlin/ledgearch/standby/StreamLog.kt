package ledgearch.standby

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamCodec
import ledgearch.peers.StreamFrame
import ledgearch.peers.StreamRecord

/**
 * The leader's log of the replication stream: the state at the last interval, its sequence number and the backlog of
 * each follower. Unsent changes of a record are coalesced, so a backlog is bounded by the number of records, not of
 * changes. A frame takes no further record once its records reach [frameRecordsBytes].
 */
internal class StreamLog(
    private val frameRecordsBytes: Int,
) {
    /** Position of a follower in the stream. */
    private class Cursor {
        /** Whether the next frame is the first of a snapshot. */
        var startsSnapshot = true

        /** Whether a part of the snapshot was not sent yet. */
        var isSnapshotPending = true

        /** Keys of the records to send, in this order. */
        val pendingKeys = LinkedHashSet<RecordKey>()
    }

    private val cursors = LinkedHashMap<Long, Cursor>()

    /** Leadership term; 0 before the first. */
    var term = 0L
        private set

    /** Number of intervals of the term that have ended. */
    var sequence = 0L
        private set

    /** The leader's state at [sequence]; the map is replaced, never changed. */
    var records: Map<RecordKey, StreamRecord> = emptyMap()
        private set

    /** Number of changed and removed records; a record counts at most once per interval. */
    var changeCount = 0L
        private set

    /** Number of snapshots sent completely. */
    var snapshotsSent = 0L
        private set

    /** Ids of the followers, in the order in which they joined. */
    val followerIds: Set<Long> get() = cursors.keys

    /** Whether there is a follower. */
    val hasFollowers: Boolean get() = cursors.isNotEmpty()

    /** Number of records that the slowest follower has not been sent yet. */
    val longestBacklog: Int get() = cursors.values.maxOfOrNull { it.pendingKeys.size } ?: 0

    /** Begins a term, with a new snapshot for every follower. */
    fun beginTerm(newTerm: Long) {
        term = newTerm
        sequence = 0
        records = emptyMap()
        cursors.keys.toList().forEach(::addFollower)
    }

    /** Ends the term; followers are sent nothing until another begins. */
    fun endTerm() {
        records = emptyMap()
        cursors.values.forEach { it.pendingKeys.clear() }
    }

    /** Adds a follower, or begins its stream anew; the stream begins with a snapshot. */
    fun addFollower(followerId: Long) {
        val cursor = Cursor()
        cursor.pendingKeys.addAll(records.keys)
        cursors[followerId] = cursor
    }

    /** Ends the stream of a follower. */
    fun removeFollower(followerId: Long) {
        cursors.remove(followerId)
    }

    /** Ends an interval, at the end of which the leader's state is [currentRecords]. */
    fun advance(currentRecords: Map<RecordKey, StreamRecord>) {
        sequence++
        val changedKeys = currentRecords.values.filter { records[it.key] != it }.map { it.key }
        val removedKeys = records.keys.filter { it !in currentRecords }
        changeCount += changedKeys.size + removedKeys.size
        records = currentRecords
        for (cursor in cursors.values) {
            cursor.pendingKeys.addAll(changedKeys)
            cursor.pendingKeys.addAll(removedKeys)
        }
    }

    /**
     * Returns the frame of the current interval for a follower, or null for an unknown one. To be called once per
     * interval.
     */
    fun nextFrame(followerId: Long): StreamFrame? {
        val cursor = cursors[followerId] ?: return null
        val changedRecords = ArrayList<StreamRecord>()
        val removedKeys = ArrayList<RecordKey>()
        takePending(cursor, changedRecords, removedKeys)
        val frame =
            StreamFrame(term, sequence, cursor.startsSnapshot, cursor.pendingKeys.size, changedRecords, removedKeys)
        cursor.startsSnapshot = false
        if (cursor.isSnapshotPending && cursor.pendingKeys.isEmpty()) {
            cursor.isSnapshotPending = false
            snapshotsSent++
        }
        return frame
    }

    /** Moves pending records into one frame, at least one of them, so that the backlog always shrinks. */
    private fun takePending(
        cursor: Cursor,
        changedRecords: MutableList<StreamRecord>,
        removedKeys: MutableList<RecordKey>,
    ) {
        var bytes = 0
        val keys = cursor.pendingKeys.iterator()
        while (keys.hasNext() && bytes < frameRecordsBytes) {
            val key = keys.next()
            keys.remove()
            val record = records[key]
            if (record == null) {
                removedKeys.add(key)
                bytes += key.name.length
            } else {
                changedRecords.add(record)
                bytes += StreamCodec.sizeOf(record)
            }
        }
    }
}
