package ledgearch.election

/** Told when this node's leadership begins, changes its fencing token or ends. */
internal interface ElectionListener {
    /**
     * This node is the leader under the fencing token [token]. [newTerm]: a new leadership term has begun, as opposed
     * to a renewed token within the present term.
     */
    fun elected(
        token: Long,
        newTerm: Boolean,
    )

    /** This node is the leader no more. */
    fun lost()
}
