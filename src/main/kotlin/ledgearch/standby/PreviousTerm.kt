package ledgearch.standby

import ledgearch.records.LeadershipRecord

/** The term of the last leader other than this node, through all its renewed tokens, as the watched grant shows it. */
internal class PreviousTerm(
    private val self: String,
) {
    private var node: String? = null
    private var instance = 0L

    /** Stamp of this term's last known grant, and of the last known one of the term before. */
    private var lastRevision = 0L
    private var revisionBefore = 0L

    /**
     * The grant is now [leadership], made at [modRevision]. True: another term has begun. A grant that ended, or is
     * this node's own, changes nothing: the term before it is still the one that was replaced.
     */
    fun changed(
        leadership: LeadershipRecord?,
        modRevision: Long,
    ): Boolean {
        if (leadership == null || leadership.node == self) return false
        val renewed = leadership.node == node && leadership.instance == instance && leadership.renews != 0L
        if (!renewed) revisionBefore = lastRevision
        node = leadership.node
        instance = leadership.instance
        lastRevision = modRevision
        return !renewed
    }

    /** [term] may be this one: it began after the last grant of the one before. */
    fun mayBe(term: Long): Boolean = term > revisionBefore
}
