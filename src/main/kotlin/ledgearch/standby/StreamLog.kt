package ledgearch.standby

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamCodec
import ledgearch.peers.StreamFrame
import ledgearch.peers.StreamRecord

/**
 * The leader's log of the decision stream: the state as of the last interval, the sequence number, and for each
 * follower which records it still has to be sent. Changes of one record that have not been sent yet are coalesced, so
 * a follower's backlog is never longer than the state itself. [frameBytes]: a frame takes no further record once its
 * records have so many bytes.
 */
internal class StreamLog(
    private val frameBytes: Int,
) {
    /** How far one follower has been sent the stream. */
    private class Cursor {
        /** No frame of the present snapshot was sent yet. */
        var first = true
        var inSnapshot = true

        /** Records that have to be sent, in the order in which they are. */
        val pending = LinkedHashSet<RecordKey>()
    }

    private val cursors = LinkedHashMap<Long, Cursor>()

    /** The leadership term; 0: none has begun. */
    var term = 0L
        private set

    /** Intervals of the term that have ended. */
    var sequence = 0L
        private set

    /** The leader's state at [sequence]; never changed in place. */
    var records: Map<RecordKey, StreamRecord> = emptyMap()
        private set

    /** Records changed or removed, counted once an interval: with the bytes sent, the standing cost of the stream. */
    var changes = 0L
        private set

    /** Snapshots sent in full. */
    var snapshotsSent = 0L
        private set

    /** Ids of the followers, in the order in which they joined. */
    val followers: Set<Long> get() = cursors.keys

    /** Whether there is a follower. */
    val isFollowed: Boolean get() = cursors.isNotEmpty()

    /** Records that the follower furthest behind has still to be sent. */
    val longestBacklog: Int get() = cursors.values.maxOfOrNull { it.pending.size } ?: 0

    /** Begins a term: every follower gets a new snapshot. */
    fun begin(newTerm: Long) {
        term = newTerm
        sequence = 0
        records = emptyMap()
        cursors.keys.toList().forEach(::join)
    }

    /** The term is over: followers get nothing until another begins. */
    fun end() {
        records = emptyMap()
        cursors.values.forEach { it.pending.clear() }
    }

    /** [follower] gets the stream from now on, beginning with a snapshot; also if it had it before. */
    fun join(follower: Long) {
        val cursor = Cursor()
        cursor.pending.addAll(records.keys)
        cursors[follower] = cursor
    }

    /** [follower] gets the stream no more. */
    fun leave(follower: Long) {
        cursors.remove(follower)
    }

    /** Ends an interval: the leader's state is [current] from now on. */
    fun advance(current: Map<RecordKey, StreamRecord>) {
        sequence++
        val changed = current.values.filter { records[it.key] != it }.map { it.key }
        val removed = records.keys.filter { it !in current }
        changes += changed.size + removed.size
        records = current
        for (cursor in cursors.values) {
            cursor.pending.addAll(changed)
            cursor.pending.addAll(removed)
        }
    }

    /**
     * The frame of the present sequence number for [follower], or null for one that has not joined. To be called once
     * an interval.
     */
    fun nextFrame(follower: Long): StreamFrame? {
        val cursor = cursors[follower] ?: return null
        val sent = ArrayList<StreamRecord>()
        val removed = ArrayList<RecordKey>()
        takePending(cursor, sent, removed)
        val frame = StreamFrame(term, sequence, cursor.first, cursor.pending.size, sent, removed)
        cursor.first = false
        if (cursor.inSnapshot && cursor.pending.isEmpty()) {
            cursor.inSnapshot = false
            snapshotsSent++
        }
        return frame
    }

    /** Takes what fits into one frame, but at least one record, so that the backlog always shrinks. */
    private fun takePending(
        cursor: Cursor,
        sent: MutableList<StreamRecord>,
        removed: MutableList<RecordKey>,
    ) {
        var bytes = 0
        val keys = cursor.pending.iterator()
        while (keys.hasNext() && bytes < frameBytes) {
            val key = keys.next()
            keys.remove()
            val record = records[key]
            if (record == null) {
                removed.add(key)
                bytes += key.name.length
            } else {
                sent.add(record)
                bytes += StreamCodec.sizeOf(record)
            }
        }
    }
}
