package ledgearch.standby

import ledgearch.peers.RecordKey
import ledgearch.peers.StreamCodec
import ledgearch.peers.StreamFrame
import ledgearch.peers.StreamRecord

/**
 * The leader's side of the decision stream: the state as of the last interval, the log's sequence number, and for each
 * follower which records it still has to be sent. Changes of one record that have not been sent yet are coalesced, so a
 * follower's backlog is never longer than the state itself.
 */
internal class StreamLog(
    private val frameBytes: Int,
) {
    private class Cursor {
        var first = true
        var inSnapshot = true
        val pending = LinkedHashSet<RecordKey>()
    }

    private val cursors = LinkedHashMap<Long, Cursor>()

    var term = 0L
        private set
    var sequence = 0L
        private set

    /** The leader's state at [sequence]; never changed in place. */
    var records: Map<RecordKey, StreamRecord> = emptyMap()
        private set

    /** Records that changed, counted once for each interval, and encoded bytes: the standing cost of the stream. */
    var changes = 0L
        private set
    var snapshotsSent = 0L
        private set

    val followers: Set<Long> get() = cursors.keys
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

    fun join(follower: Long) {
        val cursor = Cursor()
        cursor.pending.addAll(records.keys)
        cursors[follower] = cursor
    }

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

    /** The frame of the present sequence number for [follower]; to be called once for each interval. */
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

    /** At least one record goes into each frame, so that the backlog always shrinks. */
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
