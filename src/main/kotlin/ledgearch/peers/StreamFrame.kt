package ledgearch.peers

/** Frame of the replication stream: the changes of one interval, a part of a snapshot, or both. */
internal data class StreamFrame(
    /** Leadership term: the first fencing token of the leader. */
    val term: Long,
    /** Increases by one with each interval of the term; each follower gets exactly one frame per interval. */
    val sequence: Long,
    /** Whether the frame begins a new snapshot, before which the follower drops the replica that it holds. */
    val startsSnapshot: Boolean,
    /** Number of changed records that did not fit into this frame; with 0 the replica equals the leader's state. */
    val remainingRecords: Int,
    /** New and changed records, each in full. */
    val records: List<StreamRecord>,
    /** Keys of records that no longer exist. */
    val removedKeys: List<RecordKey>,
)
