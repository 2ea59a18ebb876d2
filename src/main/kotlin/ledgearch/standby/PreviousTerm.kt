package ledgearch.standby

import ledgearch.records.LeadershipRecord

/**
 * The term of the last leader other than this node ([self]), through all its renewed fencing tokens, as the watched
 * leadership record shows it.
 */
internal class PreviousTerm(
    private val self: String,
) {
    private var node: String? = null
    private var instance = 0L

    /** Revision of this term's last known leadership record. */
    private var lastRevision = 0L

    /** Revision of the last known leadership record of the term before this one. */
    private var revisionBefore = 0L

    /**
     * The leadership record is now [leadership], written at [modRevision]. True: another term has begun. A record that
     * was removed, or is this node's own, changes nothing: the term before it is still the one that was replaced.
     */
    fun changed(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ): Boolean {
        if (leadership == null || leadership.node == self) return false
        val isRenewal = leadership.node == node && leadership.instance == instance && leadership.renewedToken != 0L
        if (!isRenewal) revisionBefore = lastRevision
        node = leadership.node
        instance = leadership.instance
        lastRevision = modRevision
        return !isRenewal
    }

    /** Whether [term] may be this one: it began after the last leadership record of the term before. */
    fun mayBe(term: Long): Boolean = term > revisionBefore
}
