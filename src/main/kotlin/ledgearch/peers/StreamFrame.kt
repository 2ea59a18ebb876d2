package ledgearch.peers

/** One entry of the decision stream's log: the changes of one interval, or a part of a snapshot, or both. */
internal data class StreamFrame(
    /** The leadership term: the first fencing token of the leader's. */
    val term: Long,
    /** Rises by one with each interval of the term; each follower gets exactly one frame for each. */
    val sequence: Long,
    /** Begins a new snapshot: the follower drops the replica that it held before. */
    val first: Boolean,
    /** Records that have changed and did not fit into this frame. 0: the replica now equals the leader's state. */
    val remaining: Int,
    /** Records that are new or have changed, each in full. */
    val records: List<StreamRecord>,
    /** Records that no longer exist. */
    val removed: List<RecordKey>,
)
