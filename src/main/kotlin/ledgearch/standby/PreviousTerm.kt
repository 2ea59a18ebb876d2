package ledgearch.standby

import ledgearch.records.LeadershipRecord

/**
 * Term of the last leader other than this node ([self]), including all renewals of its fencing token, according to the
 * watched leadership record.
 */
internal class PreviousTerm(
    private val self: String,
) {
    private var node: String? = null
    private var instance = 0L

    /** Revision of the last known leadership record of this term. */
    private var lastRevision = 0L

    /** Revision of the last known leadership record of the term before this one. */
    private var lastRevisionOfTermBefore = 0L

    /**
     * Records that the leadership record is now [leadership], written at [modRevision]; returns whether another term
     * has begun. A removed record, or one of this node, changes nothing: the previous term remains the last one of
     * another node.
     */
    fun onLeadershipChanged(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ): Boolean {
        if (leadership == null || leadership.node == self) return false
        val isRenewal = leadership.node == node && leadership.instance == instance && leadership.renewedToken != 0L
        if (!isRenewal) lastRevisionOfTermBefore = lastRevision
        node = leadership.node
        instance = leadership.instance
        lastRevision = modRevision
        return !isRenewal
    }

    /** Returns whether [term] can be this one, having begun after the last leadership record of the term before. */
    fun mayBe(term: Long): Boolean = term > lastRevisionOfTermBefore
}
