package ledgearch.peers

/** One entry of the decision stream: the changes of one interval, or a piece of a snapshot, or both. */
internal data class StreamFrame(
    /** The first token of the leader's term. */
    val term: Long,
    /** Rises by one with each interval of the term; each follower gets exactly one frame for each. */
    val sequence: Long,
    /** Begins a new snapshot: what the follower held before is dropped. */
    val first: Boolean,
    /** Records that have changed and did not fit into this frame. 0: the follower now holds the leader's state. */
    val remaining: Int,
    val records: List<StreamRecord>,
    val removed: List<RecordKey>,
)
