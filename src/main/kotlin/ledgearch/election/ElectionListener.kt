package ledgearch.election

/** Receives changes of this node's leadership and of its fencing token. */
internal interface ElectionListener {
    /**
     * Called when this node has become the leader, or when its fencing token was renewed within the current term;
     * [isNewTerm] is false in the latter case.
     */
    fun onElected(
        token: Long,
        isNewTerm: Boolean,
    )

    /** Called when this node is no longer the leader. */
    fun onLeadershipLost()
}
